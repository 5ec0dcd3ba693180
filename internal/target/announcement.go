// Package target speaks to the targets of a host: they announce themselves
// over HTTP, and requests go to them over HTTP.
package target

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// AnnounceInterval is how often a target announces itself.
const AnnounceInterval = time.Second

// AnnounceTimeout is how long an announcement holds.
const AnnounceTimeout = 3 * AnnounceInterval

// PathTargets is where targets announce themselves on the host's port.
const PathTargets = "/v1/targets"

// The bounds of an announcement.
const (
	// MaxKinds is how many kinds the targets of one host serve together: as
	// many as the host's agent can tell its peers.
	MaxKinds       = member.MaxOffers
	maxName        = 63
	maxConnections = 1 << 16
)

// ErrBadAnnouncement is returned for an announcement that cannot hold.
var ErrBadAnnouncement = errors.New("target: bad announcement")

// An Announcement is what a target says of itself.
type Announcement struct {
	ID          string         `json:"id"`
	Kinds       []fleet.Kind   `json:"kinds"`
	Address     netip.AddrPort `json:"address"`
	Connections int            `json:"connections"`
	// Leaving asks for no new requests.
	Leaving bool `json:"leaving"`
}

// Check returns ErrBadAnnouncement where a cannot hold.
func (a Announcement) Check() error {
	switch {
	case !plain(a.ID):
		return errors.Wrap(ErrBadAnnouncement, "id must be 1 to 63 visible ASCII characters")
	case len(a.Kinds) == 0 || len(a.Kinds) > MaxKinds || slices.ContainsFunc(a.Kinds, func(k fleet.Kind) bool { return !plain(string(k)) }):
		return errors.Wrap(ErrBadAnnouncement, "kinds must be 1 to 16 names of 1 to 63 visible ASCII characters")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.Wrap(ErrBadAnnouncement, "address must be IP:port")
	case a.Connections <= 0 || a.Connections > maxConnections:
		return errors.Wrap(ErrBadAnnouncement, "connections must be 1 to 65536")
	}
	return nil
}

// plain reports whether a name is short and safe in logs and metrics.
func plain(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, x := range []byte(name) {
		if x <= ' ' || x > '~' {
			return false
		}
	}
	return true
}

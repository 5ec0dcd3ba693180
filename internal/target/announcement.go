// Package target keeps track of the targets of a host, which announce themselves
// over HTTP, and sends requests to them over HTTP.
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

// AnnounceTimeout is how long an announcement is valid.
const AnnounceTimeout = 3 * AnnounceInterval

// MaxLeaveWait bounds how long the answer to the announcement of a departure waits for
// the requests in flight. A target waits for an answer for AnnounceInterval.
const MaxLeaveWait = AnnounceInterval / 2

// PathTargets is the path of announcements on the host's port.
const PathTargets = "/v1/targets"

// The bounds of an announcement.
const (
	// MaxKinds bounds the kinds that the targets of one host serve together: the
	// host's agent cannot offer more to its peers.
	MaxKinds       = member.MaxOffers
	maxNameBytes   = 63
	maxConnections = 1 << 16
)

// ErrBadAnnouncement is returned for an invalid announcement. Its text and the
// reason are sent to the target.
var ErrBadAnnouncement = errors.New("target: bad announcement")

// An Announcement is a target's description of itself.
type Announcement struct {
	ID          string         `json:"id"`
	Kinds       []fleet.Kind   `json:"kinds"`
	Address     netip.AddrPort `json:"address"`
	Connections int            `json:"connections"`
	// Leaving says that the target accepts no new requests.
	Leaving bool `json:"leaving"`
}

// Check returns ErrBadAnnouncement if a is invalid.
func (a Announcement) Check() error {
	switch {
	case !validName(a.ID):
		return errors.Wrap(ErrBadAnnouncement, "id must be 1 to 63 visible ASCII characters")
	case len(a.Kinds) == 0 || len(a.Kinds) > MaxKinds || slices.ContainsFunc(a.Kinds, func(k fleet.Kind) bool { return !validName(string(k)) }):
		return errors.Wrap(ErrBadAnnouncement, "kinds must be 1 to 16 names of 1 to 63 visible ASCII characters")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.Wrap(ErrBadAnnouncement, "address must be IP:port")
	case a.Connections <= 0 || a.Connections > maxConnections:
		return errors.Wrap(ErrBadAnnouncement, "connections must be 1 to 65536")
	}
	return nil
}

// validName reports whether a name is short enough and safe in logs and metrics.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, x := range []byte(name) {
		if x <= ' ' || x > '~' {
			return false
		}
	}
	return true
}

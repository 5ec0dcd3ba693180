package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A life is one run of one agent, with a peer for each kind it serves.
type life struct {
	incarnation fleet.Incarnation
	leaving     bool
	gone        bool
	goneAt      time.Time
	peers       []*peer
}

func (l *life) peer(k fleet.Kind) *peer {
	for _, p := range l.peers {
		if p.kind == k {
			return p
		}
	}
	return nil
}

// A site is a data centre of a region.
type site struct {
	region, dataCentre string
}

// A path is the way to one site.
type path struct {
	travel time.Duration
}

// The one-way delays assumed until they are measured.
const (
	travelNear   = 250 * time.Microsecond
	travelRegion = 1500 * time.Microsecond
	travelFar    = 30 * time.Millisecond
)

// A tier is a group of agents by their distance.
type tier int

const (
	near tier = iota
	region
	far
	tiers
)

func tierOf(d fleet.Distance) tier {
	switch d {
	case fleet.SameRack, fleet.SameDataCentre:
		return near
	case fleet.SameRegion:
		return region
	default:
		return far
	}
}

func travelOf(t tier) time.Duration {
	switch t {
	case near:
		return travelNear
	case region:
		return travelRegion
	default:
		return travelFar
	}
}

// A peer is one agent as it serves one kind.
type peer struct {
	id    fleet.ID
	kind  fleet.Kind
	place fleet.Place
	life  *life
	path  *path
	tier  tier

	inFlight, queued, limit int
	queueDelay              time.Duration
	at                      time.Time

	own    int
	others float64

	health health
	// until is when a refusal or an ejection ends.
	until time.Time

	state   state
	index   int  // in the ready list
	pausing bool // in the pauses
}

// A state says whether a peer may be chosen: not at all, now, or after its pause.
type state int

const (
	parked state = iota
	ready
	avoided
)

func (p *peer) view(now time.Time, service time.Duration) View {
	return View{
		InFlight:       p.inFlight,
		Queued:         p.queued,
		Limit:          p.limit,
		QueueDelay:     p.queueDelay,
		OwnInFlight:    p.own,
		OthersInFlight: p.others,
		ServiceTime:    service,
		OneWayDelay:    p.path.travel,
		FailureRate:    p.health.fading(now),
	}
}

// usable reports whether the peer may get work once it is not avoided.
func (p *peer) usable() bool {
	if p.life.leaving || p.life.gone || p.limit <= 0 {
		return false
	}
	return !p.health.trial || p.own == 0
}

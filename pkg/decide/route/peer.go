package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An agent is one incarnation of an agent, with an endpoint for each kind it serves.
type agent struct {
	incarnation fleet.Incarnation
	leaving     bool
	removed     bool
	removedAt   time.Time
	endpoints   []*endpoint
}

// endpoint returns the endpoint for k, or nil if there is none.
func (l *agent) endpoint(k fleet.Kind) *endpoint {
	for _, e := range l.endpoints {
		if e.kind == k {
			return e
		}
	}
	return nil
}

// A site identifies a data centre of a region.
type site struct {
	region, dataCentre string
}

// A networkPath holds the average delay to one site. All endpoints of the site share it.
type networkPath struct {
	oneWayDelay time.Duration
}

// The one-way delays assumed until one is measured.
const (
	defaultDelaySameDataCentre = 250 * time.Microsecond
	defaultDelaySameRegion     = 1500 * time.Microsecond
	defaultDelayOtherRegion    = 30 * time.Millisecond
)

// A tier groups agents by their distance from the entry.
type tier int

const (
	sameDataCentre tier = iota
	sameRegion
	otherRegion
	tierCount
)

func tierOf(d fleet.Distance) tier {
	switch d {
	case fleet.SameRack, fleet.SameDataCentre:
		return sameDataCentre
	case fleet.SameRegion:
		return sameRegion
	default:
		return otherRegion
	}
}

func defaultDelay(t tier) time.Duration {
	switch t {
	case sameDataCentre:
		return defaultDelaySameDataCentre
	case sameRegion:
		return defaultDelaySameRegion
	default:
		return defaultDelayOtherRegion
	}
}

// An endpoint is one agent in its role of serving one kind.
type endpoint struct {
	id    fleet.ID
	kind  fleet.Kind
	place fleet.Place
	agent *agent
	path  *networkPath
	tier  tier

	inFlight, queued, limit int
	queueDelay              time.Duration
	reportedAt              time.Time

	ownInFlight    int
	othersInFlight float64

	health health
	// backoffEnd is when the backoff after a refusal or an ejection ends.
	backoffEnd time.Time

	state          endpointState
	readyIndex     int  // in pool.ready, if the state is ready
	inBackoffQueue bool // whether pool.backoffs holds the endpoint
}

// An endpointState says whether an endpoint may be chosen.
type endpointState int

const (
	// unavailable endpoints can't be chosen.
	unavailable endpointState = iota
	// ready endpoints may be chosen now.
	ready
	// backingOff endpoints may be chosen after their backoff.
	backingOff
)

func (e *endpoint) view(now time.Time, serviceTime time.Duration) View {
	return View{
		InFlight:       e.inFlight,
		Queued:         e.queued,
		Limit:          e.limit,
		QueueDelay:     e.queueDelay,
		OwnInFlight:    e.ownInFlight,
		OthersInFlight: e.othersInFlight,
		ServiceTime:    serviceTime,
		OneWayDelay:    e.path.oneWayDelay,
		FailureRate:    e.health.decayedFailureRate(now),
	}
}

// canServe reports whether the endpoint may be chosen, apart from its backoff. An
// endpoint on probation takes one request at a time.
func (e *endpoint) canServe() bool {
	if e.agent.leaving || e.agent.removed || e.limit <= 0 {
		return false
	}
	return !e.health.probation || e.ownInFlight == 0
}

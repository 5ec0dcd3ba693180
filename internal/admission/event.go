package admission

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// An event is one message to the gate's actor; apply passes it to the admitter.
type event interface {
	apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action
}

// An offer requests a permit; the decision is sent on its result channel.
type offer struct {
	request admit.Request
	result  chan admit.Action
}

// A done event returns the permit of a request that ended.
type done struct {
	id      admit.RequestID
	latency time.Duration
	ok      bool
}

// A cancel event withdraws a queued request or returns a permit without a
// latency measurement.
type cancel struct{ id admit.RequestID }

// A setTable event puts the rows of a table in force.
type setTable struct{ rows []table.Row }

// A setCapacity event sets the connections of the host's targets.
type setCapacity struct{ connections int }

// A setShareFactors event sets the factors from shares of the fleet to shares of the host.
type setShareFactors struct{ factors []admit.ShareFactor }

// A drain event refuses queued and later requests.
type drain struct{}

// A tick event lets the admitter act at its wake time.
type tick struct{}

func (e offer) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Offer(now, e.request, out)
}

func (e done) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Done(now, e.id, e.latency, e.ok, out)
}

func (e cancel) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Cancel(now, e.id, out)
}

func (e setTable) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.SetTable(now, e.rows, out)
}

func (e setCapacity) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.SetCapacity(now, e.connections, out)
}

func (e setShareFactors) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.SetShareFactors(now, e.factors, out)
}

func (drain) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Drain(now, out)
}

func (tick) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Tick(now, out)
}

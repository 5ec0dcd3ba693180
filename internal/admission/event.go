package admission

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// An event is one message to the admitter.
type event interface {
	apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action
}

type offer struct {
	request admit.Request
	verdict chan admit.Action
}

type done struct {
	ticket  admit.RequestID
	latency time.Duration
	ok      bool
}

type cancel struct{ ticket admit.RequestID }

type setTable struct{ rows []table.Row }

type setCapacity struct{ connections int }

type setShares struct{ scales []admit.ShareFactor }

type drain struct{}

type tick struct{}

func (e offer) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Offer(now, e.request, out)
}

func (e done) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Done(now, e.ticket, e.latency, e.ok, out)
}

func (e cancel) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Cancel(now, e.ticket, out)
}

func (e setTable) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.SetTable(now, e.rows, out)
}

func (e setCapacity) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.SetCapacity(now, e.connections, out)
}

func (e setShares) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.SetShareFactors(now, e.scales, out)
}

func (drain) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Drain(now, out)
}

func (tick) apply(now time.Time, a admit.Admitter, out []admit.Action) []admit.Action {
	return a.Tick(now, out)
}

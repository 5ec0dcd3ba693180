// Package baseline implements simple admission policies with which the default
// policy is compared.
package baseline

import "github.com/sesamestream/sesamestream/pkg/decide/admit"

// FirstCome serves requests of all kinds in order of arrival, up to the ceilings.
// It ignores floors, weights and deadlines.
type FirstCome struct{}

// Timely reports that queues are ordered by arrival and late requests are served.
func (FirstCome) Timely() bool { return false }

// Pick returns the ready queue whose first request arrived first.
func (FirstCome) Pick(queues []*admit.Queue, _ int) *admit.Queue {
	var b *admit.Queue
	for _, q := range queues {
		if !q.Ready() {
			continue
		}
		if b == nil || q.ArrivalSequence() < b.ArrivalSequence() {
			b = q
		}
	}
	return b
}

// Recall returns nil: no kind may exceed the limit.
func (FirstCome) Recall([]*admit.Queue) *admit.Queue { return nil }

// Static gives each kind exactly the permits of its floor. Kinds borrow no permits,
// and permits outside all floors stay unused.
type Static struct {
	// EnforceDeadlines orders queues by deadline and refuses late requests, as the default
	// policy does.
	EnforceDeadlines bool
}

// Timely reports whether queues are ordered by deadline and late requests are refused.
func (s Static) Timely() bool { return s.EnforceDeadlines }

// Pick returns the ready queue under its floor whose first request arrived first.
func (Static) Pick(queues []*admit.Queue, _ int) *admit.Queue {
	var b *admit.Queue
	for _, q := range queues {
		if !q.Ready() || q.InFlight >= q.Floor {
			continue
		}
		if b == nil || q.ArrivalSequence() < b.ArrivalSequence() {
			b = q
		}
	}
	return b
}

// Recall returns nil: no permits are borrowed.
func (Static) Recall([]*admit.Queue) *admit.Queue { return nil }

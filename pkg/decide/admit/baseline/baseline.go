// Package baseline holds simple policies of admission that the product's
// policy is measured against.
package baseline

import "github.com/sesamestream/sesamestream/pkg/decide/admit"

// FirstCome serves requests in the order of arrival, whatever their kind, up
// to the ceilings, and late ones too.
type FirstCome struct{}

// Timely reports that late requests are served.
func (FirstCome) Timely() bool { return false }

// Pick returns the queue whose next request arrived first.
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

// Recall returns nil: nothing exceeds the limit.
func (FirstCome) Recall([]*admit.Queue) *admit.Queue { return nil }

// Static gives each kind the permits of its floor and lends none. What no
// floor claims is left unused.
type Static struct {
	// EnforceDeadlines adds the order and the refusals by deadline of the product.
	EnforceDeadlines bool
}

// Timely reports whether late requests are refused.
func (s Static) Timely() bool { return s.EnforceDeadlines }

// Pick returns the queue under its floor whose next request arrived first.
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

// Recall returns nil: nothing is lent.
func (Static) Recall([]*admit.Queue) *admit.Queue { return nil }

package admit

// urgentLead is how far an urgent kind may run ahead of its weight, in seconds
// of service per unit of weight.
const urgentLead = 0.1

// leastRecall is the least permits up to which an urgent kind may exceed the limit.
const leastRecall = 2

// leastWeight stands for weights that are zero or less.
const leastWeight = 1e-3

// Fair is the policy of the product.
//
// A kind under its floor goes first. What no floor claims is divided by weight
// in virtual time: the service of a kind above its floor over its weight, the
// least first, as in start-time fair queueing (Goyal, Vin and Cheng, 1996).
// An urgent kind is judged by a virtual time that is warped backwards by a
// bound, as in borrowed virtual time (Duda and Cheriton, 1999): it goes before
// the rest while it stays near its share, and a flood of it gains nothing more.
type Fair struct {
	now float64
}

// Timely reports that requests go by deadline.
func (f *Fair) Timely() bool { return true }

// Pick returns the queue that gets the next permit.
func (f *Fair) Pick(queues []*Queue, limit int) *Queue {
	if q := f.pickFloor(queues, limit); q != nil {
		return q
	}
	return f.pickWeight(queues)
}

// Recall returns the urgent kind that is furthest under its floor. The limit is
// a learned figure and not a hard one, so an urgent kind need not wait until a
// lender of its permits ends; lenders start nothing until the host is back
// below its limit. Above its floor a kind is recalled only while no other waits
// for its own.
func (f *Fair) Recall(queues []*Queue) *Queue {
	var b *Queue
	owed := false
	for _, q := range queues {
		if !q.Ready() {
			continue
		}
		owed = owed || q.InFlight < q.Floor
		if q.InFlight < q.recall() && (b == nil || underFloorBefore(q, b)) {
			b = q
		}
	}
	if b != nil && owed && b.InFlight >= b.Floor {
		return nil
	}
	return b
}

// recall returns the permits up to which q may exceed the limit: the floor of an
// urgent kind, and no less than leastRecall, since a floor of one permit holds no burst.
func (q *Queue) recall() int {
	if !q.Row.Urgent || q.Floor == 0 {
		return 0
	}
	return max(q.Floor, leastRecall)
}

// pickFloor returns the most urgent, then the least served kind under its floor.
func (f *Fair) pickFloor(queues []*Queue, limit int) *Queue {
	var b *Queue
	floors := 0
	for _, q := range queues {
		floors += q.Floor
		if q.InFlight >= q.Floor || !q.Ready() {
			continue
		}
		if b == nil || underFloorBefore(q, b) {
			b = q
		}
	}
	if floors <= limit || b == nil {
		return b
	}
	return longestUnserved(queues)
}

// underFloorBefore orders two kinds that are both under their floors.
func underFloorBefore(q, b *Queue) bool {
	if q.Row.Urgent != b.Row.Urgent {
		return q.Row.Urgent
	}
	return q.InFlight*b.Floor < b.InFlight*q.Floor
}

// longestUnserved returns the kind under its floor whose latest start is oldest,
// for hosts that have fewer permits than floors.
func longestUnserved(queues []*Queue) *Queue {
	var b *Queue
	for _, q := range queues {
		if q.InFlight >= q.Floor || !q.Ready() {
			continue
		}
		if b == nil || q.started < b.started {
			b = q
		}
	}
	return b
}

// pickWeight returns the ready kind with the least warped virtual time.
func (f *Fair) pickWeight(queues []*Queue) *Queue {
	var b *Queue
	least, best := 0.0, 0.0
	for _, q := range queues {
		if !q.Ready() {
			q.virtual = max(q.virtual, f.now)
			continue
		}
		k := q.virtual
		if b == nil || k < least {
			least = k
		}
		if q.Row.Urgent {
			k -= urgentLead
		}
		if b == nil || k < best {
			b, best = q, k
		}
	}
	if b != nil {
		f.now = max(f.now, least)
	}
	return b
}

// perWeight returns the virtual time that seconds of service cost q.
func (q *Queue) perWeight(seconds float64) float64 {
	return seconds / max(q.Row.Weight, leastWeight)
}

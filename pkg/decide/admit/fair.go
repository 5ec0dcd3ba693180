package admit

// urgentVirtualTimeLead is the virtual time by which an urgent kind may run ahead of its
// weighted share, in seconds of service per unit of weight.
const urgentVirtualTimeLead = 0.1

// minOverLimitPermits is the minimum number of permits up to which an urgent kind with a
// floor may start requests above the limit.
const minOverLimitPermits = 2

// minWeight is the smallest weight in use. It replaces weights that are zero or negative.
const minWeight = 1e-3

// Fair is the default policy.
//
// Kinds under their floor get permits first. The other permits are shared by weight:
// the kind with the least virtual time, which is its service time above the floor
// divided by its weight, goes first, as in start-time fair queueing (Goyal, Vin and
// Cheng, 1996). The virtual time of an urgent kind is reduced by a constant, as in
// borrowed virtual time (Duda and Cheriton, 1999): the kind goes before the others
// while it is close to its weighted share, and an overload of it gains no more than that.
type Fair struct {
	virtualTime float64
}

// Timely reports that queues are ordered by deadline and late requests are refused.
func (f *Fair) Timely() bool { return true }

// Pick returns a queue under its floor if there is one, and otherwise selects by weight.
func (f *Fair) Pick(queues []*Queue, limit int) *Queue {
	if q := f.pickUnderFloor(queues, limit); q != nil {
		return q
	}
	return f.pickByWeight(queues)
}

// Recall returns the urgent kind that uses the smallest part of its floor. The limit is an
// estimate and not a hard bound, so an urgent kind does not have to wait until a request
// that borrows its permits ends. The borrowers start nothing until the host is below its
// limit again. A kind at or above its floor is returned only if no kind under its floor
// has a request that could start.
func (f *Fair) Recall(queues []*Queue) *Queue {
	var b *Queue
	floorUnmet := false
	for _, q := range queues {
		if !q.Ready() {
			continue
		}
		floorUnmet = floorUnmet || q.InFlight < q.Floor
		if q.InFlight < q.maxOverLimit() && (b == nil || underFloorBefore(q, b)) {
			b = q
		}
	}
	if b != nil && floorUnmet && b.InFlight >= b.Floor {
		return nil
	}
	return b
}

// maxOverLimit returns the number of permits up to which q may start requests above the
// limit: zero if q is not urgent or has no floor, and otherwise its floor, but at least
// minOverLimitPermits, because a floor of one permit cannot absorb a burst.
func (q *Queue) maxOverLimit() int {
	if !q.Row.Urgent || q.Floor == 0 {
		return 0
	}
	return max(q.Floor, minOverLimitPermits)
}

// pickUnderFloor returns a ready kind under its floor: urgent kinds first, then the one that
// uses the smallest part of its floor. If the floors exceed the limit, it returns the kind
// that has not started a request for the longest time.
func (f *Fair) pickUnderFloor(queues []*Queue, limit int) *Queue {
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

// underFloorBefore reports whether q goes before b: urgent kinds first, then the kind that
// uses the smaller part of its floor.
func underFloorBefore(q, b *Queue) bool {
	if q.Row.Urgent != b.Row.Urgent {
		return q.Row.Urgent
	}
	return q.InFlight*b.Floor < b.InFlight*q.Floor
}

// longestUnserved returns the ready kind under its floor whose most recent start is the
// oldest. It avoids starvation on hosts whose floors exceed the limit.
func longestUnserved(queues []*Queue) *Queue {
	var b *Queue
	for _, q := range queues {
		if q.InFlight >= q.Floor || !q.Ready() {
			continue
		}
		if b == nil || q.lastStartSequence < b.lastStartSequence {
			b = q
		}
	}
	return b
}

// pickByWeight returns the ready kind with the least virtual time, after the reduction for
// urgent kinds. Kinds that are not ready are advanced to the virtual time of the policy, so
// that they accumulate no credit.
func (f *Fair) pickByWeight(queues []*Queue) *Queue {
	var b *Queue
	minTime, minKey := 0.0, 0.0
	for _, q := range queues {
		if !q.Ready() {
			q.virtualTime = max(q.virtualTime, f.virtualTime)
			continue
		}
		k := q.virtualTime
		if b == nil || k < minTime {
			minTime = k
		}
		if q.Row.Urgent {
			k -= urgentVirtualTimeLead
		}
		if b == nil || k < minKey {
			b, minKey = q, k
		}
	}
	if b != nil {
		f.virtualTime = max(f.virtualTime, minTime)
	}
	return b
}

// virtualCost converts seconds of service to virtual time of q.
func (q *Queue) virtualCost(seconds float64) float64 {
	return seconds / max(q.Row.Weight, minWeight)
}

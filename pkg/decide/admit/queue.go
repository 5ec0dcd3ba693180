package admit

import (
	"container/heap"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// maxQueuedPerKind is the maximum number of queued requests of one kind.
const maxQueuedPerKind = 512

// maxQueueDelay is the maximum expected queueing delay with which a request is accepted.
const maxQueueDelay = time.Second

// queueDelayBudgetDivisor limits the expected queueing delay to a fraction of the time
// until the deadline: a request is accepted if the delay is at most the remaining time
// divided by it.
const queueDelayBudgetDivisor = 4

// A request tracks one Request that is queued or running.
type request struct {
	id       RequestID
	queue    *Queue
	sequence uint64
	deadline time.Duration
	// heapKey orders the queue: it is the deadline, or zero if the policy orders by arrival.
	// The sequence decides between equal keys.
	heapKey int64
	// heapIndex is the index in the heap of the queue, or runningIndex.
	heapIndex int
	// charge is the service time charged to the kind at the start, zero for a start
	// within the floor.
	charge time.Duration
	// startedAt is the time at which the request got its permit.
	startedAt time.Duration
	// probe marks a request that is started although the service time estimate says
	// that it will be late.
	probe bool
}

// runningIndex is the heapIndex of a request that holds a permit.
const runningIndex = -1

// requestHeap implements heap.Interface, ordered by heapKey and then by sequence.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].heapKey != h[j].heapKey {
		return h[i].heapKey < h[j].heapKey
	}
	return h[i].sequence < h[j].sequence
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return r
}

// A Queue holds the queued requests of one kind on this host, its permits and its estimates.
type Queue struct {
	Row table.Row
	// Floor is the number of permits guaranteed to the kind while it has requests for them.
	Floor int
	// Ceiling is the maximum number of permits of the kind.
	Ceiling int
	// InFlight is the number of permits that the kind holds.
	InFlight int

	shareFactor float64
	waiting     requestHeap
	// latestDeadline is the latest deadline of the requests added since the queue was last empty.
	latestDeadline time.Duration
	service        serviceTime
	// virtualTime is the service time above the floor per unit of weight, in seconds.
	virtualTime float64
	// lastStartSequence is the sequence number of the kind's most recent start.
	lastStartSequence uint64
	nextProbe         time.Duration
	// inTable reports whether the table has a request row for the kind.
	inTable bool
	// exactCeiling is the ceiling in permits before rounding.
	exactCeiling float64
	// coolingDown reports whether the kind, whose exactCeiling is below one permit, starts
	// nothing until cooldownEnd.
	coolingDown bool
	cooldownEnd time.Duration
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return len(q.waiting) }

// Ready reports whether a request is queued and the ceiling and the cooldown allow it to start.
func (q *Queue) Ready() bool {
	return len(q.waiting) > 0 && q.InFlight < q.Ceiling && !q.coolingDown
}

// ArrivalSequence returns the arrival sequence number of the first request in the
// queue. The queue must not be empty.
func (q *Queue) ArrivalSequence() uint64 { return q.waiting[0].sequence }

// push adds r to the queue.
func (q *Queue) push(r *request) {
	if len(q.waiting) == 0 || r.deadline > q.latestDeadline {
		q.latestDeadline = r.deadline
	}
	heap.Push(&q.waiting, r)
}

// remove removes r from the queue.
func (q *Queue) remove(r *request) {
	heap.Remove(&q.waiting, r.heapIndex)
}

// latestStart returns the time by which r must start to meet its deadline. A probe
// may start until its deadline.
func (q *Queue) latestStart(r *request) time.Duration {
	if r.probe {
		return r.deadline
	}
	return r.deadline - q.service.upperBound()
}

// effectivePermits estimates the number of permits that serve the queue: those that it
// holds or its floor, whichever is larger, or the exact ceiling if that is below one permit.
func (q *Queue) effectivePermits() float64 {
	if q.exactCeiling > 0 && q.exactCeiling < 1 {
		return q.exactCeiling
	}
	return float64(max(1, q.InFlight, q.Floor))
}

// expectedDelay returns the expected queueing delay behind n requests, by Little's law.
func (q *Queue) expectedDelay(n int) time.Duration {
	return time.Duration(float64(n) * float64(q.service.mean) / q.effectivePermits())
}

// estimateAhead estimates how many queued requests have a deadline before d. It assumes
// that the queued deadlines are evenly distributed.
func (q *Queue) estimateAhead(d time.Duration) int {
	n := len(q.waiting)
	if n == 0 || d >= q.latestDeadline {
		return n
	}
	first := q.waiting[0].deadline
	if d <= first {
		return 0
	}
	return int(float64(n) * float64(d-first) / float64(q.latestDeadline-first))
}

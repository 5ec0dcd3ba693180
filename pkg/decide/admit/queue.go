package admit

import (
	"container/heap"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// maxQueued bounds the requests queued of one kind.
const maxQueued = 512

// maxQueueDelay bounds the expected wait of a request.
const maxQueueDelay = time.Second

// queuePart is the divisor from what is left until the deadline to the wait
// that a request may expect.
const queuePart = 4

// A request is one ticket that is queued or running.
type request struct {
	ticket   RequestID
	queue    *Queue
	sequence uint64
	deadline time.Duration
	// order is the key of the queue: the deadline or the sequence.
	order int64
	// index is the place in the queue, or running.
	index int
	// charge is what the start cost its kind above the floor.
	charge time.Duration
	// started is when the request got its permit.
	started time.Duration
	// probe marks a request that is started whatever the estimate says.
	probe bool
}

// running is the index of a request that holds a permit.
const running = -1

// requestHeap orders requests for container/heap.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].order != h[j].order {
		return h[i].order < h[j].order
	}
	return h[i].sequence < h[j].sequence
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return r
}

// A Queue is the state of one kind on this host.
type Queue struct {
	Row table.Row
	// Floor is how many permits the kind has for certain while it asks for them.
	Floor int
	// Ceiling is how many permits the kind never exceeds.
	Ceiling int
	// InFlight is how many permits the kind holds.
	InFlight int

	scale   float64
	waiting requestHeap
	// last is the latest deadline that is waiting.
	last    time.Duration
	service serviceTime
	// virtual is the service above the floor per unit of weight, in seconds.
	virtual float64
	// started is the sequence of the kind's latest start.
	started   uint64
	nextProbe time.Duration
	// listed reports whether the table has the kind.
	listed bool
	// share is the ceiling in permits before it is rounded.
	share float64
	// resting reports whether a kind with a share below one permit waits until restEnd.
	resting bool
	restEnd time.Duration
}

// Queued returns how many requests wait.
func (q *Queue) Queued() int { return len(q.waiting) }

// Ready reports whether a request waits that the ceiling allows to start.
func (q *Queue) Ready() bool {
	return len(q.waiting) > 0 && q.InFlight < q.Ceiling && !q.resting
}

// ArrivalSequence returns the order of arrival of the request that is next.
// The queue must not be empty.
func (q *Queue) ArrivalSequence() uint64 { return q.waiting[0].sequence }

// push queues r.
func (q *Queue) push(r *request) {
	if len(q.waiting) == 0 || r.deadline > q.last {
		q.last = r.deadline
	}
	heap.Push(&q.waiting, r)
}

// remove takes r out of the queue.
func (q *Queue) remove(r *request) {
	heap.Remove(&q.waiting, r.index)
}

// latestStart returns when r must have started to be answered in time.
func (q *Queue) latestStart(r *request) time.Duration {
	if r.probe {
		return r.deadline
	}
	return r.deadline - q.service.bound()
}

// permits returns how many permits serve the queue, by what it holds and may claim.
func (q *Queue) permits() float64 {
	if q.share > 0 && q.share < 1 {
		return q.share
	}
	return float64(max(1, q.InFlight, q.Floor))
}

// delay returns the expected wait behind n requests, by Little's law.
func (q *Queue) delay(n int) time.Duration {
	return time.Duration(float64(n) * float64(q.service.mean) / q.permits())
}

// ahead estimates how many waiting requests have an earlier deadline than d,
// taking the deadlines that wait as spread evenly.
func (q *Queue) ahead(d time.Duration) int {
	n := len(q.waiting)
	if n == 0 || d >= q.last {
		return n
	}
	first := q.waiting[0].deadline
	if d <= first {
		return 0
	}
	return int(float64(n) * float64(d-first) / float64(q.last-first))
}

package route

import "time"

// A backoff is an item of a backoffQueue: an endpoint and the end of its backoff.
type backoff struct {
	end      int64 // Unix nanoseconds
	endpoint *endpoint
}

// A backoffQueue is a binary heap ordered by the end of the backoffs. An endpoint is
// in it at most once. Its item keeps its place even if the backoff is extended or
// the endpoint becomes unavailable.
type backoffQueue []backoff

// push adds e, unless it is in the queue already.
func (p *backoffQueue) push(e *endpoint) {
	if e.inBackoffQueue {
		return
	}
	e.inBackoffQueue = true
	l := append(*p, backoff{end: e.backoffEnd.UnixNano(), endpoint: e})
	*p = l
	i := len(l) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if l[parent].end <= l[i].end {
			return
		}
		l[parent], l[i] = l[i], l[parent]
		i = parent
	}
}

// pop removes and returns the first endpoint whose item has ended by now, or returns nil.
func (p *backoffQueue) pop(now time.Time) *endpoint {
	l := *p
	if len(l) == 0 || l[0].end > now.UnixNano() {
		return nil
	}
	e := l[0].endpoint
	e.inBackoffQueue = false
	last := len(l) - 1
	l[0] = l[last]
	l[last] = backoff{}
	*p = l[:last]
	p.siftDown()
	return e
}

// siftDown restores the order of the heap after its top was replaced.
func (p *backoffQueue) siftDown() {
	l := *p
	i := 0
	for {
		child := 2*i + 1
		if child >= len(l) {
			return
		}
		if child+1 < len(l) && l[child+1].end < l[child].end {
			child++
		}
		if l[i].end <= l[child].end {
			return
		}
		l[i], l[child] = l[child], l[i]
		i = child
	}
}

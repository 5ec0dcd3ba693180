// Package intake bounds what clients can make a process hold: the bytes of their
// requests, their connections, and the memory of the requests in work. A nil *Intake
// and a nil *Budget set no bounds.
package intake

import (
	"container/list"
	"sync"

	"github.com/pkg/errors"
)

// Errors of requests that exceed a limit. A request that fails with one had no effect.
var (
	// ErrBusy is returned where the memory for a request's bytes or its work is in use, or is needed for newer requests.
	ErrBusy      = errors.New("intake: too many bytes of requests are held")
	ErrTooLarge  = errors.New("intake: the body is too large")
	ErrTimeout   = errors.New("intake: the body did not arrive in time")
	ErrTruncated = errors.New("intake: the body was cut")
	// ErrOverhead is returned for a body whose chunks have far more framing than data.
	ErrOverhead = errors.New("intake: the chunks of the body are too small")
)

// A Budget bounds the bytes that incomplete and complete requests hold together. When
// it is exhausted, the oldest incomplete requests are evicted.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// evicting is the part of used that belongs to evicted reservations that are not released yet.
	evicting int64
	// incomplete holds the reservations that may be evicted, the oldest first.
	incomplete list.List
	// waiting holds the reservations that wait for evicted ones to be released, in order.
	waiting list.List
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// A Reservation is the share of one request in a budget. It is used by one goroutine.
type Reservation struct {
	budget *Budget
	// interrupt makes the reading of the request fail soon.
	interrupt func()

	// The fields below are guarded by the budget's mutex.
	size    int64
	evicted bool
	// place is the element in budget.incomplete; nil if the reservation cannot be evicted.
	place *list.Element
	// wanted is the size of a pending Reserve, and granted is closed when it ends.
	wanted  int64
	granted chan struct{}
	waiting *list.Element
}

// Open returns an empty reservation of an incomplete request. If it is evicted, interrupt
// is called, which must not block, and the request has to release it soon.
func (b *Budget) Open(interrupt func()) *Reservation {
	r := &Reservation{budget: b, interrupt: interrupt}
	if b == nil {
		return r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.place = b.incomplete.PushBack(r)
	return r
}

// Reserve adds n bytes. It evicts the oldest incomplete requests if necessary and waits until
// they are released. It returns ErrBusy if that does not suffice, or if r is evicted itself.
func (r *Reservation) Reserve(n int64) error {
	b := r.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	if r.evicted || r.size+n > b.limit {
		b.mu.Unlock()
		return ErrBusy
	}
	if b.used+n <= b.limit && b.waiting.Len() == 0 {
		b.used += n
		r.size += n
		b.mu.Unlock()
		return nil
	}
	r.wanted, r.granted = n, make(chan struct{})
	r.waiting = b.waiting.PushBack(r)
	victims := b.evictFor()
	b.grant()
	b.mu.Unlock()
	for _, v := range victims {
		v.interrupt()
	}
	<-r.granted
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return ErrBusy
	}
	return nil
}

// evictFor evicts the oldest incomplete requests until all waiting reservations will fit,
// and returns them.
func (b *Budget) evictFor() []*Reservation {
	var victims []*Reservation
	var wanted int64
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		wanted += e.Value.(*Reservation).wanted
	}
	for b.used-b.evicting+wanted > b.limit && b.waiting.Len() > 0 {
		e := b.incomplete.Front()
		if e == nil {
			// Requests that are complete hold the rest, so that those that wait are evicted themselves.
			e = b.waiting.Front()
		}
		v := e.Value.(*Reservation)
		b.removeIncomplete(v)
		v.evicted = true
		b.evicting += v.size
		if v.waiting != nil {
			wanted -= v.wanted
			b.endWait(v)
		}
		victims = append(victims, v)
	}
	return victims
}

// grant ends the wait of the reservations that fit, in order.
func (b *Budget) grant() {
	for e := b.waiting.Front(); e != nil; e = b.waiting.Front() {
		r := e.Value.(*Reservation)
		if b.used+r.wanted > b.limit {
			return
		}
		b.used += r.wanted
		r.size += r.wanted
		b.endWait(r)
	}
}

func (b *Budget) endWait(r *Reservation) {
	b.waiting.Remove(r.waiting)
	r.waiting, r.wanted = nil, 0
	close(r.granted)
}

func (b *Budget) removeIncomplete(r *Reservation) {
	if r.place != nil {
		b.incomplete.Remove(r.place)
		r.place = nil
	}
}

// Shrink gives back n bytes.
func (r *Reservation) Shrink(n int64) {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shrink(r, n)
}

func (b *Budget) shrink(r *Reservation, n int64) {
	n = min(n, r.size)
	r.size -= n
	b.used -= n
	if r.evicted {
		b.evicting -= n
	}
	b.grant()
}

// Complete ends the time in which the reservation may be evicted. It returns ErrBusy if it
// has been.
func (r *Reservation) Complete() error {
	b := r.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeIncomplete(r)
	if r.evicted {
		return ErrBusy
	}
	return nil
}

// Release gives back all bytes. It may be called repeatedly.
func (r *Reservation) Release() {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeIncomplete(r)
	b.shrink(r, r.size)
}

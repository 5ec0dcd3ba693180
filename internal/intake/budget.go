// Package intake bounds what clients can make a process hold: the bytes of their
// requests, their connections, and the memory of the requests in work. A nil *Intake
// and a nil *Budget set no bounds.
package intake

import (
	"container/list"
	"sync"
	"time"

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

const (
	// minHoldTime is how long a request may keep its bytes, while it grows no further, before larger
	// requests that wait may evict it. An ordinary body arrives within a few round trips.
	minHoldTime = time.Second
	// maxWait bounds the wait for bytes; callers wait up to 3 s for an answer.
	maxWait = 2 * time.Second
	// smallBytes is the size up to which a request does not wait for larger ones.
	smallBytes = 20 << 10
)

// A Budget bounds the bytes that incomplete and complete requests hold together. When it is
// exhausted, requests wait, and incomplete ones are evicted, those first that have not grown for
// the longest time. Small requests evict others at once; large ones leave them minHoldTime, so
// that a burst of ordinary large requests is served in turn, and a quarter of the budget to small
// ones. Of the large ones that wait, the
// newest is first, as stalled clients that came before it would hold it up otherwise.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// evicting is the part of used that belongs to evicted reservations that are not released yet.
	evicting int64
	// smallWanted and largeWanted are the sums for which the reservations in small and large wait.
	smallWanted, largeWanted int64
	// holders holds the reservations that may be evicted and do not wait, small and large those that
	// wait; the oldest first.
	holders, small, large list.List
	// recheck is set while a timer will call settle.
	recheck bool
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
	// list is the list of the budget that holds the reservation at place; nil if there is none.
	list  *list.List
	place *list.Element
	// since is when the request began or last grew.
	since time.Time
	// wanted is the size of a pending Reserve, and decided is closed when it ends.
	wanted  int64
	decided chan struct{}
}

// Open returns an empty reservation of an incomplete request. If it is evicted, interrupt
// is called, which must neither block nor use the budget, and the request has to release its
// reservation soon.
func (b *Budget) Open(interrupt func()) *Reservation {
	r := &Reservation{budget: b, interrupt: interrupt}
	if b == nil {
		return r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.moveTo(&b.holders)
	return r
}

// moveTo moves the reservation to the end of a list; nil is none.
func (r *Reservation) moveTo(l *list.List) {
	if r.list != nil {
		r.list.Remove(r.place)
	}
	r.list, r.place = l, nil
	if l != nil {
		r.place, r.since = l.PushBack(r), time.Now()
	}
}

// Reserve adds n bytes and waits for them if necessary. It returns ErrBusy if they do not become
// free in time, or if r is evicted.
func (r *Reservation) Reserve(n int64) error {
	b := r.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	small := r.size+n <= smallBytes
	if r.evicted || r.size+n > b.limit || !small && r.size+n > b.largeLimit() {
		b.mu.Unlock()
		return ErrBusy
	}
	r.decided = make(chan struct{})
	if small {
		r.moveTo(&b.small)
	} else {
		r.moveTo(&b.large)
	}
	b.setWanted(r, n)
	b.settle()
	waits := r.wanted > 0
	b.mu.Unlock()
	if waits {
		t := time.NewTimer(maxWait)
		defer t.Stop()
		select {
		case <-r.decided:
		case <-t.C:
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.wanted > 0 {
		b.setWanted(r, 0)
		r.moveTo(nil)
		return ErrBusy
	}
	if r.evicted {
		return ErrBusy
	}
	return nil
}

// largeLimit is the part of the limit that reservations above smallBytes may use.
func (b *Budget) largeLimit() int64 { return b.limit / 4 * 3 }

// setWanted sets for how much a reservation in small or large waits.
func (b *Budget) setWanted(r *Reservation, n int64) {
	sum := &b.smallWanted
	if r.list == &b.large {
		sum = &b.largeWanted
	}
	*sum += n - r.wanted
	r.wanted = n
}

// settle grants what fits, and evicts holders for the reservations that wait.
func (b *Budget) settle() {
	b.grant()
	for b.smallWanted > 0 && b.used-b.evicting+b.smallWanted > b.limit {
		e := b.holders.Front()
		if e == nil {
			e = b.large.Front()
		}
		if e == nil {
			break
		}
		b.evict(e.Value.(*Reservation))
	}
	for b.largeWanted > 0 && b.used-b.evicting+b.smallWanted+b.largeWanted > b.largeLimit() {
		e := b.holders.Front()
		if e == nil {
			break
		}
		oldest := e.Value.(*Reservation)
		if wait := minHoldTime - time.Since(oldest.since); wait > 0 {
			b.settleAfter(wait)
			break
		}
		b.evict(oldest)
	}
	b.grant()
}

// settleAfter calls settle after d, unless that is already going to happen.
func (b *Budget) settleAfter(d time.Duration) {
	if b.recheck {
		return
	}
	b.recheck = true
	time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.recheck = false
		b.settle()
	})
}

func (b *Budget) evict(r *Reservation) {
	if r.wanted > 0 {
		b.setWanted(r, 0)
		close(r.decided)
	}
	r.moveTo(nil)
	r.evicted = true
	b.evicting += r.size
	r.interrupt()
}

// grant ends the wait of the reservations that fit: small ones in order, then large ones, the
// newest first.
func (b *Budget) grant() {
	for {
		e, limit := b.small.Front(), b.limit
		if e == nil {
			e, limit = b.large.Back(), b.largeLimit()
		}
		if e == nil {
			return
		}
		r := e.Value.(*Reservation)
		if b.used+r.wanted > limit {
			return
		}
		b.used += r.wanted
		r.size += r.wanted
		b.setWanted(r, 0)
		r.moveTo(&b.holders)
		close(r.decided)
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
	if b.smallWanted+b.largeWanted > 0 {
		b.settle()
	}
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
	r.moveTo(nil)
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
	r.moveTo(nil)
	b.shrink(r, r.size)
}

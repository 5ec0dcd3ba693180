// Package journal keeps the journal of one shard in the store: it carries out
// what package pkg/decide/journal decides, and keeps the snapshots.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The errors of a log, besides those of the store.
var (
	// ErrLost means another owner holds the journal and the records are not in it.
	ErrLost = errors.New("journal: lost to another owner")
	// ErrFull means too much waits to be written; the records are not in the journal.
	ErrFull = errors.New("journal: too many records wait")
	// ErrAlreadyOpen means the log is open already.
	ErrAlreadyOpen = errors.New("journal: already open")
)

const (
	// DefaultMaxSegment bounds a segment, in bytes.
	DefaultMaxSegment fleet.Bytes = 256 << 10
	// DefaultMaxPending bounds the records that wait, in bytes.
	DefaultMaxPending fleet.Bytes = 4 << 20
	// counterShift leaves room for the segments that one opening writes.
	counterShift = 32
)

// openings counts the openings of this process, so that no two share a segment's counter.
var openings atomic.Uint64

// A Log is one owner's end of a shard's journal. Its fields are set before Open.
type Log struct {
	Store   store.Store
	Shard   int
	Process fleet.ProcessIncarnation
	// MaxSegment bounds a value, DefaultMaxSegment where it is 0.
	MaxSegment fleet.Bytes
	// MaxPending bounds the records that wait, DefaultMaxPending where it is 0.
	MaxPending fleet.Bytes
	// WriteLimiter spaces the writes of all logs that share it, where it is not nil.
	WriteLimiter *rate.Limiter
	// OnFenced is called once when another owner took the journal over, where it is not nil.
	OnFenced func()

	mu      sync.Mutex
	machine *journal.Machine
	cancel  context.CancelFunc
	asks    chan journal.Action
	opened  chan bool
	tickets journal.Ticket
	waiting map[journal.Ticket]func(journal.Mark, error)
	grown   fleet.Bytes
	lowest  journal.Position

	snapshots sync.Mutex
}

// A Replay is what a journal held when it was taken over.
type Replay struct {
	// Snapshot is nil where there was none.
	Snapshot []byte
	// Records are those behind the snapshot, in their order.
	Records [][]byte
	// Epoch is the new owner's.
	Epoch journal.Epoch
	// Mark stands behind all of them.
	Mark journal.Mark
	// PreviousOwner is the owner before, zero where there was none.
	PreviousOwner PreviousOwner
}

// A PreviousOwner is the owner that wrote last before a takeover. Its epoch is zero
// where it is not known.
type PreviousOwner struct {
	Process fleet.ProcessIncarnation
	Epoch   journal.Epoch
}

// Open takes the journal over, which fences older owners, and returns what it holds.
func (l *Log) Open(ctx context.Context) (Replay, error) {
	if err := l.start(); err != nil {
		return Replay{}, err
	}
	for {
		s, err := l.read(ctx)
		if err != nil {
			l.Close()
			return Replay{}, err
		}
		l.mu.Lock()
		l.grown, l.lowest = s.grown, s.lowest
		l.mu.Unlock()
		l.step(journal.Opened{Last: s.last, CoverIndex: s.index})
		select {
		case ok := <-l.opened:
			if !ok {
				continue
			}
			p := s.last + 1
			return Replay{
				Snapshot: s.snapshot, Records: s.records, Epoch: journal.Epoch(p),
				Mark: journal.Mark{Position: p}, PreviousOwner: s.before,
			}, nil
		case <-ctx.Done():
			l.Close()
			return Replay{}, errors.WithMessage(store.ErrUnavailable, "journal: open: "+ctx.Err().Error())
		}
	}
}

// start prepares a fresh machine and the goroutine that does its I/O.
func (l *Log) start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		return ErrAlreadyOpen
	}
	if l.MaxSegment == 0 {
		l.MaxSegment = DefaultMaxSegment
	}
	if l.MaxPending == 0 {
		l.MaxPending = DefaultMaxPending
	}
	l.machine = &journal.Machine{
		Life: l.Process, MaxSegment: l.MaxSegment, MaxPending: l.MaxPending,
		Counter: openings.Add(1) << counterShift,
	}
	l.waiting = map[journal.Ticket]func(journal.Mark, error){}
	l.asks = make(chan journal.Action, 1)
	l.opened = make(chan bool, 1)
	c, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(c, l.machine, l.asks)
	return nil
}

// Close stops the log. Appends that wait end with ErrUnavailable, or ErrUnknown where in doubt.
func (l *Log) Close() {
	l.mu.Lock()
	if l.cancel == nil {
		l.mu.Unlock()
		return
	}
	l.cancel()
	l.cancel = nil
	var after []func()
	for t := range l.waiting {
		after = append(after, l.apply(journal.Cancel{Ticket: t})...)
	}
	l.mu.Unlock()
	call(after)
}

// step drives the machine.
func (l *Log) step(e journal.Event) {
	l.mu.Lock()
	after := l.apply(e)
	l.mu.Unlock()
	call(after)
}

// call calls each of fs.
func call(fs []func()) {
	for _, f := range fs {
		f()
	}
}

// apply drives the machine under the lock and returns what is to be called without it.
func (l *Log) apply(e journal.Event) []func() {
	var after []func()
	for _, a := range l.machine.Step(time.Now(), e, nil) {
		if f := l.take(a); f != nil {
			after = append(after, f)
		}
	}
	return after
}

// take carries out one action and returns what is to be called without the lock.
func (l *Log) take(a journal.Action) func() {
	switch a := a.(type) {
	case journal.Committed:
		return l.finish(a.Ticket, a.Mark, nil)
	case journal.Refused:
		return l.finish(a.Ticket, journal.Mark{}, reason(a.Reason))
	case journal.Ready:
		l.opened <- true
	case journal.Reopen:
		l.opened <- false
	case journal.Fenced:
		return l.OnFenced
	default:
		l.asks <- a
	}
	return nil
}

// finish returns the call that ends a ticket.
func (l *Log) finish(t journal.Ticket, m journal.Mark, err error) func() {
	f, ok := l.waiting[t]
	if !ok {
		return nil
	}
	delete(l.waiting, t)
	return func() { f(m, err) }
}

// reason returns the error that r stands for.
func reason(r journal.Reason) error {
	switch r {
	case journal.TooLarge:
		return store.ErrTooLarge
	case journal.Full:
		return ErrFull
	case journal.Cancelled:
		return store.ErrUnavailable
	case journal.Unsettled:
		return store.ErrUnknown
	}
	return ErrLost
}

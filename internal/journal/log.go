// Package journal stores the journal of one shard: it executes the actions of
// the state machine in pkg/decide/journal, and writes and reads snapshots.
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

// Errors returned by a Log, besides those of the store.
var (
	// ErrLost means that another owner has taken the journal over and the records are not in it.
	ErrLost = errors.New("journal: taken over by another owner")
	// ErrFull means that too many bytes are queued for writing; the records are not in the journal.
	ErrFull = errors.New("journal: too many records wait")
	// ErrAlreadyOpen means that Open was called on an open log.
	ErrAlreadyOpen = errors.New("journal: already open")
)

const (
	// DefaultMaxSegment is the maximum size of a segment, in bytes.
	DefaultMaxSegment fleet.Bytes = 256 << 10
	// DefaultMaxPending is the maximum size of the queued records, in bytes.
	DefaultMaxPending fleet.Bytes = 4 << 20
	// segmentCounterBits is how many low bits of a segment counter count the segments of one Open.
	segmentCounterBits = 32
)

// sequence numbers the calls of Open and Snapshot in this process, so that
// segment counters and snapshot names are unique.
var sequence atomic.Uint64

// A Log is the journal of a shard as one owner reads and writes it. Set its
// exported fields before Open.
type Log struct {
	Store   store.Store
	Shard   int
	Process fleet.ProcessIncarnation
	// MaxSegment is the maximum size of a stored value; 0 means DefaultMaxSegment.
	MaxSegment fleet.Bytes
	// MaxPending is the maximum size of the queued records; 0 means DefaultMaxPending.
	MaxPending fleet.Bytes
	// WriteLimiter limits the rate of segment writes of all logs that share it; nil means no limit.
	WriteLimiter *rate.Limiter
	// OnInvalid is called with each record below the prefix of the segments that isn't one. It may be nil.
	OnInvalid func(error)
	// OnFenced is called once when another owner has taken the journal over. It may be nil.
	OnFenced func()

	mu                 sync.Mutex
	machine            *journal.Machine
	cancel             context.CancelFunc
	actions            chan journal.Action
	openResults        chan bool
	lastTicket         journal.Ticket
	callbacks          map[journal.Ticket]func(journal.Mark, error)
	bytesSinceSnapshot fleet.Bytes
	lowestPosition     journal.Position

	snapshotMu sync.Mutex
}

// A Replay is the content of a journal at a takeover.
type Replay struct {
	// Snapshot is nil if there is none.
	Snapshot []byte
	// Records are the records after the snapshot, in order.
	Records [][]byte
	// Epoch is the epoch of the new owner.
	Epoch journal.Epoch
	// Mark is the end of the last record.
	Mark journal.Mark
	// PreviousOwner is the owner before the takeover, or zero if there was none.
	PreviousOwner PreviousOwner
}

// A PreviousOwner is the owner that wrote last before a takeover. Its epoch is
// zero if it is unknown.
type PreviousOwner struct {
	Process fleet.ProcessIncarnation
	Epoch   journal.Epoch
}

// Open takes the journal over, which fences earlier owners, and returns its content.
func (l *Log) Open(ctx context.Context) (Replay, error) {
	if err := l.start(); err != nil {
		return Replay{}, err
	}
	for {
		s, err := l.readJournal(ctx)
		if err != nil {
			l.Close()
			return Replay{}, err
		}
		l.mu.Lock()
		l.bytesSinceSnapshot, l.lowestPosition = s.segmentBytes, s.lowestPosition
		l.mu.Unlock()
		l.step(journal.Opened{Last: s.lastPosition, ManifestIndex: s.manifestIndex})
		select {
		case ok := <-l.openResults:
			if !ok {
				continue
			}
			p := s.lastPosition + 1
			return Replay{
				Snapshot: s.snapshot, Records: s.records, Epoch: journal.Epoch(p),
				Mark: journal.Mark{Position: p}, PreviousOwner: s.previousOwner,
			}, nil
		case <-ctx.Done():
			l.Close()
			return Replay{}, errors.WithMessage(store.ErrUnavailable, "journal: open: "+ctx.Err().Error())
		}
	}
}

// start creates a new state machine and starts the goroutine that executes its actions.
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
		Writer: l.Process, MaxSegmentBytes: l.MaxSegment, MaxPendingBytes: l.MaxPending,
		Counter: sequence.Add(1) << segmentCounterBits,
	}
	l.callbacks = map[journal.Ticket]func(journal.Mark, error){}
	l.actions = make(chan journal.Action, 1)
	l.openResults = make(chan bool, 1)
	c, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.runActions(c, l.machine, l.actions)
	return nil
}

// Close stops the log. Pending appends end with store.ErrUnavailable, or with
// store.ErrUnknown if their records may be in the journal.
func (l *Log) Close() {
	l.mu.Lock()
	if l.cancel == nil {
		l.mu.Unlock()
		return
	}
	l.cancel()
	l.cancel = nil
	var callbacks []func()
	for t := range l.callbacks {
		callbacks = append(callbacks, l.stepLocked(journal.Cancel{Ticket: t})...)
	}
	l.mu.Unlock()
	callAll(callbacks)
}

// step passes e to the state machine.
func (l *Log) step(e journal.Event) {
	l.mu.Lock()
	callbacks := l.stepLocked(e)
	l.mu.Unlock()
	callAll(callbacks)
}

func callAll(fs []func()) {
	for _, f := range fs {
		f()
	}
}

// stepLocked passes e to the state machine while mu is held. The caller calls
// the returned functions after it has unlocked mu.
func (l *Log) stepLocked(e journal.Event) []func() {
	var callbacks []func()
	for _, a := range l.machine.Step(time.Now(), e, nil) {
		if f := l.execute(a); f != nil {
			callbacks = append(callbacks, f)
		}
	}
	return callbacks
}

// execute handles one action while mu is held. The caller calls the returned
// function, which may be nil, after it has unlocked mu.
func (l *Log) execute(a journal.Action) func() {
	switch a := a.(type) {
	case journal.Committed:
		return l.completion(a.Ticket, a.Mark, nil)
	case journal.Refused:
		return l.completion(a.Ticket, journal.Mark{}, refusalError(a.Reason))
	case journal.Ready:
		l.openResults <- true
	case journal.Reopen:
		l.openResults <- false
	case journal.Fenced:
		return l.OnFenced
	default:
		l.actions <- a
	}
	return nil
}

// completion removes the callback of ticket t and returns a call of it, or nil if there is none.
func (l *Log) completion(t journal.Ticket, m journal.Mark, err error) func() {
	f, ok := l.callbacks[t]
	if !ok {
		return nil
	}
	delete(l.callbacks, t)
	return func() { f(m, err) }
}

// refusalError returns the error for a refusal with reason r.
func refusalError(r journal.Reason) error {
	switch r {
	case journal.TooLarge:
		return store.ErrTooLarge
	case journal.QueueFull:
		return ErrFull
	case journal.Cancelled:
		return store.ErrUnavailable
	case journal.OutcomeUnknown:
		return store.ErrUnknown
	}
	return ErrLost
}

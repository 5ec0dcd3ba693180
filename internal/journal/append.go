package journal

import (
	"context"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Append commits all of the records or none, and returns once the result is known.
//
// ErrLost, ErrFull, store.ErrTooLarge and store.ErrUnavailable mean that the
// records are not in the journal and never will be. store.ErrUnknown means that
// ctx ended or the journal was taken over while a write's result was unknown.
func (l *Log) Append(ctx context.Context, records ...[]byte) (journal.Mark, error) {
	type result struct {
		mark journal.Mark
		err  error
	}
	done := make(chan result, 1)
	t := l.Submit(func(m journal.Mark, err error) { done <- result{m, err} }, records...)
	select {
	case r := <-done:
		return r.mark, r.err
	case <-ctx.Done():
	}
	l.step(journal.Cancel{Ticket: t})
	r := <-done
	return r.mark, r.err
}

// Submit queues records and calls done once with the results that Append returns.
// Commits are reported in the order of their marks by one goroutine, so done must not block.
func (l *Log) Submit(done func(journal.Mark, error), records ...[]byte) journal.Ticket {
	l.mu.Lock()
	if l.cancel == nil {
		l.mu.Unlock()
		done(journal.Mark{}, ErrLost)
		return 0
	}
	l.lastTicket++
	t := l.lastTicket
	l.callbacks[t] = done
	callbacks := l.stepLocked(journal.Append{Ticket: t, Records: records})
	l.mu.Unlock()
	callAll(callbacks)
	return t
}

// BytesSinceSnapshot returns the size of the segments written since the last snapshot, which Open has to read.
func (l *Log) BytesSinceSnapshot() fleet.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesSinceSnapshot
}

// Pending returns the size of the records queued for writing.
func (l *Log) Pending() fleet.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return 0
	}
	return l.machine.PendingBytes()
}

// runActions performs the I/O actions of the state machine m, one at a time.
func (l *Log) runActions(ctx context.Context, m *journal.Machine, actions <-chan journal.Action) {
	b := store.NewBackOff()
	for {
		select {
		case a := <-actions:
			if w, ok := a.(journal.Backoff); ok && w.Failures == 1 {
				b.Reset()
			}
			e := l.perform(ctx, a, b.NextBackOff)
			if e == nil || !l.deliver(m, e) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// deliver passes e to m. It returns false if the log has been closed since m was started.
func (l *Log) deliver(m *journal.Machine, e journal.Event) bool {
	l.mu.Lock()
	if l.cancel == nil || l.machine != m {
		l.mu.Unlock()
		return false
	}
	callbacks := l.stepLocked(e)
	l.mu.Unlock()
	callAll(callbacks)
	return true
}

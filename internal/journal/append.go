package journal

import (
	"context"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Append returns once the records are committed, all of them or none.
//
// It returns ErrLost, ErrFull, store.ErrTooLarge or store.ErrUnavailable where
// they are not and will not be in the journal, and store.ErrUnknown where ctx
// ended or the journal was lost in doubt.
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

// Submit queues records and calls done once, as Append would return.
// The commits of a log are told in the order of their marks, from one goroutine, which done must not block.
func (l *Log) Submit(done func(journal.Mark, error), records ...[]byte) journal.Ticket {
	l.mu.Lock()
	if l.cancel == nil {
		l.mu.Unlock()
		done(journal.Mark{}, ErrLost)
		return 0
	}
	l.tickets++
	t := l.tickets
	l.waiting[t] = done
	after := l.apply(journal.Append{Ticket: t, Records: records})
	l.mu.Unlock()
	call(after)
	return t
}

// BytesSinceSnapshot returns the bytes of segments written since the last snapshot, which an opening has to read.
func (l *Log) BytesSinceSnapshot() fleet.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grown
}

// Pending returns the bytes of records that wait to be written.
func (l *Log) Pending() fleet.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine == nil {
		return 0
	}
	return l.machine.Pending()
}

// run does the machine's I/O, one action at a time.
func (l *Log) run(ctx context.Context, m *journal.Machine, asks <-chan journal.Action) {
	b := store.NewBackOff()
	for {
		select {
		case a := <-asks:
			if w, ok := a.(journal.Wait); ok && w.Failures == 1 {
				b.Reset()
			}
			e := l.perform(ctx, a, b.NextBackOff)
			if e == nil || !l.answer(m, e) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// answer passes e to m and reports false if the log was closed since.
func (l *Log) answer(m *journal.Machine, e journal.Event) bool {
	l.mu.Lock()
	if l.cancel == nil || l.machine != m {
		l.mu.Unlock()
		return false
	}
	after := l.apply(e)
	l.mu.Unlock()
	call(after)
	return true
}

package gateway

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// query sends a query to the scheduler and reports whether the scheduler knows the answer.
func (g *Gateway) query(ctx context.Context, a link.Query) (link.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, _ := g.call(ctx, func(id uint64) link.Message {
		a.ID = id
		return link.Message{Query: &a}
	})
	return r, r.Known
}

// call sends a message to the scheduler and waits for the reply. The reply is
// empty if none arrives before ctx ends; the second result reports whether the
// message was sent.
func (g *Gateway) call(ctx context.Context, message func(id uint64) link.Message) (link.Reply, bool) {
	ch := make(chan link.Reply, 1)
	g.mu.Lock()
	if g.pendingReplies == nil {
		g.pendingReplies = map[uint64]chan link.Reply{}
	}
	g.lastRequestID++
	id := g.lastRequestID
	g.pendingReplies[id] = ch
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.pendingReplies, id)
		g.mu.Unlock()
	}()
	if !g.Send(message(id)) {
		return link.Reply{}, false
	}
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
	}
	return link.Reply{}, true
}

// HandleMessage passes a reply of the scheduler to the call that waits for it.
func (g *Gateway) HandleMessage(m link.Message) {
	if m.Reply == nil {
		return
	}
	g.mu.Lock()
	ch := g.pendingReplies[m.Reply.ID]
	g.mu.Unlock()
	if ch != nil {
		ch <- *m.Reply
	}
}

// Pending returns the number of jobs of a queue that have not started.
func (g *Gateway) Pending(ctx context.Context, deadline time.Time, queue string) (int, bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	for ctx.Err() == nil {
		if r, ok := g.query(ctx, link.Query{Queue: queue}); ok {
			return r.Pending, true
		}
		steady.Sleep(ctx, retryInterval)
	}
	return 0, false
}

// delegateWrite asks the scheduler to store a job, or its cancellation where
// value is nil, since the store may be unreachable from this process only.
// Without a session nothing is sent, so the outcome is known.
func (g *Gateway) delegateWrite(ctx context.Context, id batch.JobID, value []byte) link.StoreOutcome {
	if ctx.Err() != nil {
		return link.NotStored
	}
	ctx, cancel := context.WithTimeout(ctx, delegatedWriteTimeout)
	defer cancel()
	r, sent := g.call(ctx, func(n uint64) link.Message {
		return link.Message{StoreRequest: &link.StoreRequest{ID: n, Job: id, Value: value}}
	})
	if !sent {
		return link.NotStored
	}
	return r.Outcome
}

// delegatedResult turns the outcome of a delegated write into the result of the submission.
func (g *Gateway) delegatedResult(o link.StoreOutcome) SubmitResult {
	switch o {
	case link.Stored:
		return SubmitResult{Outcome: Accepted}
	case link.NotStored:
		return g.refusedResult()
	case link.Fenced:
		return SubmitResult{Outcome: Cancelled, RetryAfter: maxRetryAfter}
	case link.StoreUnknown:
	}
	return SubmitResult{Outcome: Unknown}
}

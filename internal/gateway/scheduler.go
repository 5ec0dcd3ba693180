package gateway

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// ask asks the scheduler.
func (g *Gateway) ask(ctx context.Context, a link.Query) (link.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, _ := g.call(ctx, func(id uint64) link.Message {
		a.ID = id
		return link.Message{Query: &a}
	})
	return r, r.Known
}

// call sends a message to the scheduler and waits for its reply, which is empty
// where none comes in time. It returns whether the message was sent.
func (g *Gateway) call(ctx context.Context, message func(id uint64) link.Message) (link.Reply, bool) {
	ch := make(chan link.Reply, 1)
	g.mu.Lock()
	if g.asks == nil {
		g.asks = map[uint64]chan link.Reply{}
	}
	g.next++
	id := g.next
	g.asks[id] = ch
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.asks, id)
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

// HandleMessage takes what the scheduler says.
func (g *Gateway) HandleMessage(m link.Message) {
	if m.Reply == nil {
		return
	}
	g.mu.Lock()
	ch := g.asks[m.Reply.ID]
	g.mu.Unlock()
	if ch != nil {
		ch <- *m.Reply
	}
}

// Pending returns how many jobs of a queue haven't begun.
func (g *Gateway) Pending(ctx context.Context, deadline time.Time, queue string) (int, bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	for ctx.Err() == nil {
		if r, ok := g.ask(ctx, link.Query{Queue: queue}); ok {
			return r.Pending, true
		}
		steady.Pause(ctx, retryPause)
	}
	return 0, false
}

// handOver has the scheduler store a job, or its cancellation where value is
// nil, as the store may have turned away this process alone. Without a session
// nothing is sent, so that the outcome is known.
func (g *Gateway) handOver(ctx context.Context, id batch.JobID, value []byte) link.StoreOutcome {
	if ctx.Err() != nil {
		return link.NotStored
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r, sent := g.call(ctx, func(n uint64) link.Message {
		return link.Message{StoreRequest: &link.StoreRequest{ID: n, Job: id, Value: value}}
	})
	if !sent {
		return link.NotStored
	}
	return r.Outcome
}

// verdict tells a caller what became of a job that was handed over.
func (g *Gateway) verdict(o link.StoreOutcome) SubmitResult {
	switch o {
	case link.Stored:
		return SubmitResult{Outcome: Accepted}
	case link.NotStored:
		return g.refusal()
	case link.StoreUnknown:
	}
	return SubmitResult{Outcome: Unknown}
}

package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
)

// session stays with the scheduler until it isn't heard any more.
func (n *Node) session(ctx context.Context, l election.Leader) {
	opening, cancel := context.WithTimeout(ctx, dialTimeout)
	raw, err := n.Network.Dial(opening, l.Address)
	cancel()
	if err != nil {
		return
	}
	c := link.New(raw)
	defer c.Close()
	h := n.Hello()
	h.Unregistered, h.StoreLatency = n.unregistering, n.Self.StoreLatency
	c.Send(link.Message{Hello: &h})
	heard := make(chan link.Message, heardQueue)
	go func() {
		defer close(heard)
		// The reader's error is that of the link's end.
		_ = c.Read(func(m link.Message) {
			select {
			case heard <- m:
			case <-c.Done():
			}
		})
	}()
	welcome := time.NewTimer(welcomeTimeout)
	defer welcome.Stop()
	select {
	case <-ctx.Done():
		return
	case <-welcome.C:
		return
	case m, ok := <-heard:
		if !ok || m.Welcome == nil {
			return
		}
		n.mu.Lock()
		old := m.Welcome.Epoch < n.epoch
		if !old {
			n.epoch, n.known, n.conn = m.Welcome.Epoch, l, c
		}
		n.mu.Unlock()
		if old {
			return
		}
		n.unregistered = false
		n.Log.Event(eventlog.SchedulerFound).Str("leader", l.Node).Int64("epoch", m.Welcome.Epoch).Int64("fence", m.Welcome.Fence).Msg("")
		n.OnWelcome(*m.Welcome)
	}
	last := time.Now()
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	n.ping(c)
	// looks tells whether the scheduler still leads, once it was looked at.
	var looks chan bool
	for open := true; open; {
		select {
		case <-ctx.Done():
			open = false
		case m, ok := <-heard:
			if !ok {
				open = false
				break
			}
			last = time.Now()
			switch {
			case m.Pong != nil:
				n.mu.Lock()
				n.strongest = m.Pong.MaxStrength
				n.mu.Unlock()
				n.OnGrant(time.Duration(m.Pong.Sent), m.Pong.Grant)
			case m.TakeOver != nil:
				n.yield(*m.TakeOver)
			default:
				n.OnMessage(m)
			}
		case leads := <-looks:
			looks = nil
			open = leads || time.Since(last) < quietLeader
		case <-ping.C:
			quiet := time.Since(last)
			if quiet > link.SessionTimeout {
				open = false
				break
			}
			if quiet > quietLeader && looks == nil && !n.Self.Host {
				looks = make(chan bool, 1)
				go func(answer chan<- bool) { answer <- n.stillLeads(ctx, l) }(looks)
			}
			n.ping(c)
		}
	}
	n.mu.Lock()
	n.conn = nil
	n.mu.Unlock()
	n.Log.Warning(eventlog.SchedulerLost).Str("leader", l.Node).Dur("silent", time.Since(last)).Msg("")
	n.OnSessionLost()
}

// stillLeads reports whether the store names l as the leader, or can't be asked.
func (n *Node) stillLeads(ctx context.Context, l election.Leader) bool {
	now, err := n.Elector.Current(ctx)
	if errors.Is(err, kv.ErrNotFound) {
		return false
	}
	return err != nil || now == l
}

func (n *Node) ping(c *link.Conn) {
	age := time.Duration(-1)
	if at := n.LastStoreContact(); !at.IsZero() {
		age = time.Since(at)
	}
	c.Send(link.Message{Ping: &link.Ping{Sent: int64(n.LeaseClock()), StoreAge: age, NoPriorRuns: n.RunsEnded()}})
}

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

// runSession opens a session with the leader l and serves it until the link ends
// or the leader no longer responds.
func (n *Node) runSession(ctx context.Context, l election.Leader) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	raw, err := n.Network.Dial(dialCtx, l.Address)
	cancel()
	if err != nil {
		return
	}
	c := link.New(raw)
	defer c.Close()
	h := n.Hello()
	h.Unregistered, h.StoreLatency = n.unregistering, n.Self.StoreLatency
	c.Send(link.Message{Hello: &h})
	received := make(chan link.Message, receiveQueueLength)
	go func() {
		defer close(received)
		// The error only says how the link ended.
		_ = c.Read(func(m link.Message) {
			select {
			case received <- m:
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
	case m, ok := <-received:
		if !ok || m.Welcome == nil {
			return
		}
		n.mu.Lock()
		stale := m.Welcome.Epoch < n.epoch
		if !stale {
			// The scheduler takes the pings of this session for the end of this node's own term.
			n.loseTermBefore(m.Welcome.Epoch)
			n.epoch, n.knownLeader, n.conn = m.Welcome.Epoch, l, c
		}
		n.mu.Unlock()
		if stale {
			return
		}
		n.unregistered = false
		n.Log.Event(eventlog.SchedulerFound).Str("leader", l.Node).Int64("epoch", m.Welcome.Epoch).Int64("fence", m.Welcome.Fence).Msg("")
		n.membership.Welcome(n.LeaseClock(), m.Welcome.Epoch, m.Welcome.EarlierLeases)
		n.OnWelcome(*m.Welcome)
	}
	lastReceived := time.Now()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	// echo is the stamp of the last pong.
	var echo int64
	n.sendPing(c, echo)
	// leaderCheck receives the result of a pending stillLeader call; nil where none is pending.
	var leaderCheck chan bool
	for open := true; open; {
		select {
		case <-ctx.Done():
			open = false
		case m, ok := <-received:
			if !ok {
				open = false
				break
			}
			lastReceived = time.Now()
			switch {
			case m.Pong != nil:
				n.mu.Lock()
				n.strongest = m.Pong.MaxStrength
				n.mu.Unlock()
				echo = m.Pong.Stamp
				if n.membership.Answered(n.LeaseClock(), time.Duration(m.Pong.Sent), m.Pong.OutageAge) {
					n.sendPing(c, echo)
				}
				n.OnGrant(time.Duration(m.Pong.Sent), m.Pong.Grant)
				if m.Pong.Load != nil && n.OnLoad != nil {
					n.OnLoad(m.Pong.Load)
				}
				if m.Pong.Memory != nil && n.OnMemory != nil {
					n.OnMemory(*m.Pong.Memory)
				}
			case m.TakeOver != nil:
				n.becomeSuccessor(*m.TakeOver)
			default:
				n.OnMessage(m)
			}
		case isLeader := <-leaderCheck:
			leaderCheck = nil
			open = isLeader || time.Since(lastReceived) < leaderUnresponsiveAfter
		case <-ping.C:
			sinceReceived := time.Since(lastReceived)
			if sinceReceived > link.SessionTimeout {
				open = false
				break
			}
			if sinceReceived > leaderUnresponsiveAfter && leaderCheck == nil && !n.Self.Host {
				leaderCheck = make(chan bool, 1)
				go func(answer chan<- bool) { answer <- n.stillLeader(ctx, l) }(leaderCheck)
			}
			n.sendPing(c, echo)
		}
	}
	n.mu.Lock()
	n.conn = nil
	n.mu.Unlock()
	n.Log.Warning(eventlog.SchedulerLost).Str("leader", l.Node).Dur("silent", time.Since(lastReceived)).Msg("")
	n.OnSessionLost()
}

// stillLeader reports whether the store names l as the leader or cannot be read.
func (n *Node) stillLeader(ctx context.Context, l election.Leader) bool {
	now, err := n.Elector.Current(ctx)
	if errors.Is(err, kv.ErrNotFound) {
		return false
	}
	return err != nil || now == l
}

// sendPing asks the scheduler for a grant, and echoes the stamp of the last one.
func (n *Node) sendPing(c *link.Conn, echo int64) {
	age := time.Duration(-1)
	if at := n.LastStoreContact(); !at.IsZero() {
		age = time.Since(at)
	}
	c.Send(link.Message{Ping: &link.Ping{Sent: int64(n.LeaseClock()), StoreAge: age, NoPriorRuns: n.RunsEnded(), Echo: echo}})
}

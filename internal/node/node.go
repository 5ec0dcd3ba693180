// Package node keeps a process in touch with the scheduler: it finds the one
// that leads, holds a session with it, and leads itself when nobody does.
package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

const (
	// pingEvery keeps several pings within a session's time-out.
	pingEvery = 500 * time.Millisecond
	// quietLeader is how long a scheduler may leave pings unanswered until an
	// entry looks whether it still leads: two pings and the longest way.
	quietLeader = 2*pingEvery + 100*time.Millisecond
	// welcomeTimeout covers the load of a scheduler's state and the registration of a node in the store.
	welcomeTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a link; the slowest known takes 30 ms one way.
	dialTimeout = 700 * time.Millisecond
	// seekPause is the pause between two looks for the scheduler.
	seekPause = 150 * time.Millisecond
	// jitter parts nodes that are suited alike.
	jitter = 60 * time.Millisecond
	// heardQueue is how many messages of the scheduler may wait for the parts of the process.
	heardQueue = 64
	// yieldTime is how long a node that was named as the heir takes a free lead at once.
	yieldTime = 2 * time.Second
	// announcement bounds a datagram in bytes.
	announcement = 512
)

// A Node is the part that all processes share. Its exported fields are set before Run.
type Node struct {
	Elector *election.Elector
	Log     *eventlog.Log
	Network link.Network
	// Listen is where other nodes reach this one.
	Listen netip.AddrPort
	// Self describes the process to the succession.
	Self succession.Process
	// Hello describes the process.
	Hello func() link.Hello
	// NewDispatcher makes the scheduler of a term.
	NewDispatcher func(*election.Term) *dispatch.Dispatcher
	// OnWelcome, Granted, Message and Lost tell of the session.
	OnWelcome     func(link.Welcome)
	OnGrant       func(sent, grant time.Duration)
	OnMessage     func(link.Message)
	OnSessionLost func()
	// LeaseClock is the clock of the leases.
	LeaseClock func() time.Duration
	// RunsEnded reports whether nothing that was started before can run on this host.
	RunsEnded func() bool
	// LastStoreContact returns when the store answered last; zero where it never did.
	LastStoreContact func() time.Time

	mu    sync.Mutex
	conn  *link.Conn
	lead  *dispatch.Dispatcher
	term  *election.Term
	epoch int64
	// resigned nodes are about to end.
	resigned bool
	// unregistering is set once the node's key may be gone, unregistered once it is.
	unregistering, unregistered bool
	// strongest are the cores of the strongest process, as the scheduler told.
	strongest float64
	// heir is until when this node takes a free lead at once.
	heir    time.Time
	known   election.Leader
	hint    chan struct{}
	packets link.PacketConn
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.hint = make(chan struct{}, 1)
	l, err := n.Network.Listen(ctx, n.Listen)
	if err != nil {
		return err
	}
	n.packets, err = n.Network.Packets(n.Listen)
	if err != nil {
		_ = l.Close()
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.accept(ctx, l) })
	g.Go(func() error { return n.hear(ctx) })
	g.Go(func() error { return n.seek(ctx) })
	<-ctx.Done()
	_ = l.Close()
	_ = n.packets.Close()
	return g.Wait()
}

// Send passes a message to the scheduler; without a session it's dropped, and
// the next session begins with all that is needed.
func (n *Node) Send(m link.Message) bool {
	n.mu.Lock()
	c := n.conn
	n.mu.Unlock()
	if c == nil {
		return false
	}
	c.Send(m)
	return true
}

// Reconnect ends the session, if there is one, so that another begins.
func (n *Node) Reconnect() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conn != nil {
		n.conn.Close()
	}
}

// Connected reports whether there is a session.
func (n *Node) Connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conn != nil
}

// IsLeader reports whether this node schedules.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lead != nil
}

// Resign gives the lead up, if this node has it, and doesn't take it again.
func (n *Node) Resign(ctx context.Context) {
	n.mu.Lock()
	d := n.lead
	n.resigned = true
	n.mu.Unlock()
	if d != nil {
		d.Resign(ctx)
	}
}

// yield makes this node the heir of the scheduler with that epoch.
func (n *Node) yield(y link.TakeOver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if y.Epoch == n.epoch {
		n.heir = time.Now().Add(yieldTime)
		n.Log.Event(eventlog.LeadOffered).Int64("epoch", y.Epoch).Msg("")
	}
}

// wait returns how long this node leaves a free lead to others.
func (n *Node) wait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.heir) {
		return 0
	}
	return succession.ElectionDelay(n.Self, n.strongest) + rand.N(jitter)
}

// accept serves the nodes that connect while this one leads.
func (n *Node) accept(ctx context.Context, l net.Listener) error {
	for ctx.Err() == nil {
		c, err := l.Accept()
		if err != nil {
			n.Log.Warn().Err(err).Msg("accept")
			n.pause(ctx, seekPause)
			continue
		}
		go n.serve(link.New(c))
	}
	return nil
}

func (n *Node) serve(c *link.Conn) {
	var h *link.Hello
	var d *dispatch.Dispatcher
	// The reader's error is that of the link's end.
	_ = c.Read(func(m link.Message) {
		if h == nil {
			n.mu.Lock()
			d = n.lead
			n.mu.Unlock()
			if m.Hello == nil || d == nil {
				c.Close()
				return
			}
			h = m.Hello
			d.Accept(c, *h)
			return
		}
		d.Message(c, h, m)
	})
	if h != nil {
		d.LinkClosed(c, h)
	}
}

// hear takes announcements: a node that the store turns away learns from them.
func (n *Node) hear(ctx context.Context) error {
	b := make([]byte, announcement)
	for ctx.Err() == nil {
		k, _, err := n.packets.ReadFromUDPAddrPort(b)
		if err != nil {
			n.Log.Warn().Err(err).Msg("announcement")
			n.pause(ctx, seekPause)
			continue
		}
		var a struct {
			Epoch  int64           `json:"epoch"`
			Leader election.Leader `json:"leader"`
		}
		if json.Unmarshal(b[:k], &a) != nil {
			continue
		}
		n.mu.Lock()
		if a.Epoch > n.epoch {
			n.epoch = a.Epoch
			n.known = a.Leader
			if n.term != nil && int64(n.term.Epoch) < a.Epoch {
				n.term.Lose()
			}
			if n.conn != nil {
				n.conn.Close()
			}
		} else if a.Epoch == n.epoch {
			n.known = a.Leader
		}
		n.mu.Unlock()
		select {
		case n.hint <- struct{}{}:
		default:
		}
	}
	return nil
}

func (n *Node) announce(leader election.Leader) func(string, int64) {
	return func(to string, epoch int64) {
		a, err := netip.ParseAddrPort(to)
		if err != nil {
			return
		}
		b, err := json.Marshal(struct {
			Epoch  int64           `json:"epoch"`
			Leader election.Leader `json:"leader"`
		}{epoch, leader})
		if err != nil {
			return
		}
		// A lost announcement is repeated.
		_, _ = n.packets.WriteToUDPAddrPort(b, a)
	}
}

// seek holds a session with whoever leads.
func (n *Node) seek(ctx context.Context) error {
	var lead sync.WaitGroup
	defer lead.Wait()
	for ctx.Err() == nil {
		n.unregister(ctx)
		at := time.Now()
		l, err := n.Elector.Current(ctx)
		n.Self.StoreLatency = time.Since(at)
		switch {
		case err == nil:
			n.session(ctx, l)
		case errors.Is(err, kv.ErrNotFound):
			n.askStrongest(ctx)
			if !n.pause(ctx, n.wait()) {
				return nil
			}
			n.try(ctx, &lead)
		default:
			n.mu.Lock()
			k := n.known
			n.mu.Unlock()
			if k.Address.IsValid() {
				n.session(ctx, k)
			}
		}
		n.pause(ctx, seekPause)
	}
	return nil
}

// askStrongest learns whom to leave a free lead to where no scheduler has told it.
func (n *Node) askStrongest(ctx context.Context) {
	n.mu.Lock()
	known := n.strongest > 0
	n.mu.Unlock()
	if known {
		return
	}
	s, err := n.Elector.LastStrongest(ctx)
	if err != nil {
		n.Log.Warning(eventlog.StoreLost).Str("call", "epoch").Err(err).Msg("")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.strongest = s
}

// Strongest returns the strength of the strongest process known.
func (n *Node) Strongest() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.strongest, succession.Strongest([]succession.Process{n.Self}))
}

// unregister removes the key of a node without a session on which nothing can
// run, so that the next scheduler doesn't wait for it.
func (n *Node) unregister(ctx context.Context) {
	if !n.RunsEnded() || n.unregistered {
		return
	}
	n.unregistering = true
	err := dispatch.Unregister(ctx, n.Elector.Store, n.Elector.Node)
	n.unregistered = err == nil
	n.Log.Event(eventlog.HostUnregistered).Bool("done", n.unregistered).Err(err).Msg("")
}

// pause waits, or less where an announcement comes.
func (n *Node) pause(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.hint:
	case <-time.After(t):
	}
	return ctx.Err() == nil
}

// try takes the lead where nobody has it.
func (n *Node) try(ctx context.Context, lead *sync.WaitGroup) {
	n.mu.Lock()
	resigned := n.resigned
	n.mu.Unlock()
	if resigned {
		return
	}
	if _, err := n.Elector.Current(ctx); !errors.Is(err, kv.ErrNotFound) {
		return
	}
	t, err := n.Elector.TryAcquire(ctx)
	if err != nil {
		return
	}
	n.Log.Event(eventlog.LeadTaken).Int64("epoch", int64(t.Epoch)).Msg("")
	d := n.NewDispatcher(t)
	d.Announce = n.announce(election.Leader{Node: n.Elector.Node, Address: n.Elector.Address})
	d.Open()
	n.mu.Lock()
	n.lead, n.term, n.epoch = d, t, int64(t.Epoch)
	n.mu.Unlock()
	lead.Go(func() { t.KeepAlive(ctx) })
	lead.Go(func() {
		err := d.Run(ctx)
		t.Lose()
		n.Log.Warning(eventlog.LeadLost).Int64("epoch", int64(t.Epoch)).Err(err).Msg("")
		n.mu.Lock()
		if n.lead == d {
			n.lead, n.term = nil, nil
		}
		n.mu.Unlock()
	})
}

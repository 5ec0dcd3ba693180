// Package node connects a process to the scheduler: it finds the leader, keeps
// a session with it, and takes the leadership itself when there is no leader.
package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/intake"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/retention"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

const (
	// pingInterval is the time between two pings; several fit into a session's time-out.
	pingInterval = 500 * time.Millisecond
	// leaderUnresponsiveAfter is how long the scheduler may leave pings
	// unanswered before an entry checks in the store whether it is still the
	// leader: two pings and the longest one-way delay.
	leaderUnresponsiveAfter = 2*pingInterval + 100*time.Millisecond
	// welcomeTimeout bounds the wait for the welcome. It covers the loading of the
	// scheduler's state and the registration of the node in the store.
	welcomeTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a connection; the slowest known link has a one-way delay of 30 ms.
	dialTimeout = 700 * time.Millisecond
	// leaderLookupInterval is the pause between two lookups of the leader, and after a network error.
	leaderLookupInterval = 150 * time.Millisecond
	// maxElectionJitter bounds the random delay that keeps equally suited nodes from trying at the same moment.
	maxElectionJitter = 60 * time.Millisecond
	// receiveQueueLength is how many messages from the scheduler may wait to be handled.
	receiveQueueLength = 64
	// successorWindow is how long a node that was named as successor takes a vacant leadership without a delay.
	successorWindow = 2 * time.Second
	// maxAnnouncementBytes bounds the datagram of an announcement.
	maxAnnouncementBytes = 512
)

// A Node is a process as a member of the deployment. Its exported fields are set before Run.
type Node struct {
	Elector *election.Elector
	Log     *eventlog.Log
	Network link.Network
	// Listen is the address at which other nodes reach this one.
	Listen netip.AddrPort
	// Self describes the process for the choice of the leader.
	Self succession.Process
	// Hello returns the first message of a session, which describes the process.
	Hello func() link.Hello
	// NewDispatcher returns the scheduler of a term.
	NewDispatcher func(*election.Term) *dispatch.Dispatcher
	// OnWelcome is called at the start of a session, OnGrant at each pong,
	// OnMessage at any other message and OnSessionLost at the end.
	OnWelcome func(link.Welcome)
	OnGrant   func(sent, grant time.Duration)
	OnMessage func(link.Message)
	// OnLoad is called with the load summary of a pong that has one.
	OnLoad func(*overload.Summary)
	// OnMemory is called with the memory report of a pong that has one.
	OnMemory      func(retention.Report)
	OnSessionLost func()
	// LeaseClock is the clock by which leases are counted.
	LeaseClock func() time.Duration
	// MaxConns bounds the connections of other processes that are open at once; 0 is no bound.
	MaxConns int
	// Frames bounds the bytes of the frames that other processes send on them; nil is no bound.
	Frames *intake.Budget
	// OnLimit is called each time a peer reaches a limit; nil is none.
	OnLimit func(intake.Reason)
	// RunsEnded reports whether no run that was started earlier can still run on this host.
	RunsEnded func() bool
	// LastStoreContact returns when the store last answered; zero if it never did.
	LastStoreContact func() time.Time

	mu         sync.Mutex
	conn       *link.Conn
	dispatcher *dispatch.Dispatcher
	term       *election.Term
	epoch      int64
	// resigned is set on a node that is about to end and takes no leadership.
	resigned bool
	// unregistering is set once the node's key may have been removed, unregistered once it has been.
	unregistering, unregistered bool
	// strongest is the strength of the strongest process, as reported by the scheduler or the last term.
	strongest float64
	// successorUntil is the time until which this node takes a vacant leadership without a delay.
	successorUntil time.Time
	knownLeader    election.Leader
	announced      chan struct{}
	packets        link.PacketConn
	// membership is what this node knows of the present term, from which its own next term
	// begins; only followLeader uses it.
	membership succession.Membership
	links      atomic.Int64
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.announced = make(chan struct{}, 1)
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
	g.Go(func() error { return n.receiveAnnouncements(ctx) })
	g.Go(func() error { return n.followLeader(ctx) })
	<-ctx.Done()
	_ = l.Close()
	_ = n.packets.Close()
	return g.Wait()
}

// Send passes a message to the scheduler and reports whether there is a session.
// Without one the message is dropped; the next session starts by transferring
// all the state that is needed.
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

// Links returns how many connections other processes have opened to this one.
func (n *Node) Links() int { return int(n.links.Load()) }

// Reconnect ends the session, if there is one, so that a new one is opened.
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

// IsLeader reports whether this node is the scheduler.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dispatcher != nil
}

// Resign gives up the leadership, if this node has it, and does not take it again.
func (n *Node) Resign(ctx context.Context) {
	n.mu.Lock()
	d := n.dispatcher
	n.resigned = true
	n.mu.Unlock()
	if d != nil {
		d.Resign(ctx)
	}
}

// becomeSuccessor makes this node the successor of the scheduler with the epoch of y.
func (n *Node) becomeSuccessor(y link.TakeOver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if y.Epoch == n.epoch {
		n.successorUntil = time.Now().Add(successorWindow)
		n.Log.Event(eventlog.LeadershipOffered).Int64("epoch", y.Epoch).Msg("")
	}
}

// electionDelay returns how long this node waits before it tries to take a vacant leadership.
func (n *Node) electionDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.successorUntil) {
		return 0
	}
	return succession.ElectionDelay(n.Self, n.strongest) + rand.N(maxElectionJitter)
}

// accept serves the nodes that connect while this one is the leader.
func (n *Node) accept(ctx context.Context, l net.Listener) error {
	a := &acceptor{maxConns: n.MaxConns, onLimit: n.OnLimit, open: &n.links}
	for ctx.Err() == nil {
		c, err := l.Accept()
		if err != nil {
			n.Log.Warn().Err(err).Msg("accept")
			n.pause(ctx, leaderLookupInterval)
			continue
		}
		x := link.Accept(c)
		x.BoundFrames(n.Frames)
		if a.add(x) {
			go func() {
				defer a.remove(x)
				n.serve(x, a)
			}()
		}
	}
	return nil
}

// serve passes the messages of a connected node to the dispatcher. The first one
// must be a hello, and this node must be the leader.
func (n *Node) serve(c *link.Conn, a *acceptor) {
	var h *link.Hello
	var d *dispatch.Dispatcher
	err := c.Read(func(m link.Message) {
		if h == nil {
			n.mu.Lock()
			d = n.dispatcher
			n.mu.Unlock()
			if m.Hello == nil || d == nil {
				c.Close()
				return
			}
			h = m.Hello
			a.opened(c)
			d.Accept(c, *h)
			return
		}
		d.Message(c, h, m)
	})
	// Other errors only say how the link ended.
	if errors.Is(err, link.ErrBusy) && n.OnLimit != nil {
		n.OnLimit(intake.ReasonFrameBytes)
	}
	if h != nil {
		d.LinkClosed(c, h)
	}
}

// receiveAnnouncements handles the announcements of leaders, by which a node
// that cannot reach the store learns of the current one.
func (n *Node) receiveAnnouncements(ctx context.Context) error {
	b := make([]byte, maxAnnouncementBytes)
	for ctx.Err() == nil {
		size, _, err := n.packets.ReadFromUDPAddrPort(b)
		if err != nil {
			n.Log.Warn().Err(err).Msg("announcement")
			n.pause(ctx, leaderLookupInterval)
			continue
		}
		var a struct {
			Epoch  int64           `json:"epoch"`
			Leader election.Leader `json:"leader"`
		}
		if json.Unmarshal(b[:size], &a) != nil {
			continue
		}
		n.mu.Lock()
		if a.Epoch > n.epoch {
			n.epoch = a.Epoch
			n.knownLeader = a.Leader
			n.loseTermBefore(a.Epoch)
			if n.conn != nil {
				n.conn.Close()
			}
		} else if a.Epoch == n.epoch {
			n.knownLeader = a.Leader
		}
		n.mu.Unlock()
		select {
		case n.announced <- struct{}{}:
		default:
		}
	}
	return nil
}

// loseTermBefore ends the term of this node, if it has one before the given epoch. The node must be locked.
func (n *Node) loseTermBefore(epoch int64) {
	if n.term != nil && int64(n.term.Epoch) < epoch {
		n.term.Lose()
	}
}

// announcer returns a function that sends an announcement of leader to an address.
func (n *Node) announcer(leader election.Leader) func(string, int64) {
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
		// Announcements are repeated, so a lost one needs no handling.
		_, _ = n.packets.WriteToUDPAddrPort(b, a)
	}
}

// followLeader keeps a session with the current leader, and tries to take the
// leadership when there is none.
func (n *Node) followLeader(ctx context.Context) error {
	var terms sync.WaitGroup
	defer terms.Wait()
	for ctx.Err() == nil {
		n.unregister(ctx)
		requestedAt := time.Now()
		l, err := n.Elector.Current(ctx)
		n.Self.StoreLatency = time.Since(requestedAt)
		switch {
		case err == nil:
			n.runSession(ctx, l)
		case errors.Is(err, kv.ErrNotFound):
			n.dropAnnouncement()
			n.loadStrongest(ctx)
			switch l, announced := n.awaitLeader(ctx, n.electionDelay()); {
			case ctx.Err() != nil:
				return nil
			case announced:
				n.runSession(ctx, l)
			default:
				n.tryLeadership(ctx, &terms)
			}
		default:
			n.mu.Lock()
			known := n.knownLeader
			n.mu.Unlock()
			if known.Address.IsValid() {
				n.runSession(ctx, known)
			}
		}
		n.pause(ctx, leaderLookupInterval)
	}
	return nil
}

// loadStrongest reads the strength of the strongest process from the store where
// no scheduler has reported it; electionDelay depends on it.
func (n *Node) loadStrongest(ctx context.Context) {
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

// Strongest returns the strength of the strongest known process.
func (n *Node) Strongest() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.strongest, succession.Strongest([]succession.Process{n.Self}))
}

// unregister removes the key of a node without a session on which no run can be
// left, so that the next scheduler does not wait for the node.
func (n *Node) unregister(ctx context.Context) {
	if !n.RunsEnded() || n.unregistered {
		return
	}
	n.unregistering = true
	err := dispatch.Unregister(ctx, n.Elector.Store, n.Elector.Node)
	n.unregistered = err == nil
	n.Log.Event(eventlog.HostUnregistered).Bool("done", n.unregistered).Err(err).Msg("")
}

// dropAnnouncement drops an announcement that was received before, as its leader may be gone.
func (n *Node) dropAnnouncement() {
	select {
	case <-n.announced:
	default:
	}
}

// awaitLeader waits for t or until a leader announces itself, and returns that leader.
func (n *Node) awaitLeader(ctx context.Context, t time.Duration) (l election.Leader, announced bool) {
	select {
	case <-ctx.Done():
		return election.Leader{}, false
	case <-time.After(t):
		return election.Leader{}, false
	case <-n.announced:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownLeader, n.knownLeader.Address.IsValid()
}

// pause waits for t or until an announcement arrives or ctx ends.
func (n *Node) pause(ctx context.Context, t time.Duration) { n.awaitLeader(ctx, t) }

// tryLeadership takes the leadership if it is vacant.
func (n *Node) tryLeadership(ctx context.Context, terms *sync.WaitGroup) {
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
	d := n.NewDispatcher(t)
	d.HostWait = n.membership.HostWait(n.LeaseClock(), int64(t.Previous.Epoch), dispatch.MaxLeaseDuration)
	n.Log.Event(eventlog.LeadershipAcquired).Int64("epoch", int64(t.Epoch)).Int64("previous", int64(t.Previous.Epoch)).Str("previousLeader", t.Previous.Leader.Node).
		Dur("earlierLeases", d.HostWait.Earlier).Dur("previousLeases", d.HostWait.Previous).Msg("")
	d.Announce = n.announcer(election.Leader{Node: n.Elector.Node, Address: n.Elector.Address})
	d.Open()
	n.mu.Lock()
	n.loseTermBefore(int64(t.Epoch))
	n.dispatcher, n.term, n.epoch = d, t, int64(t.Epoch)
	n.mu.Unlock()
	terms.Go(func() { t.KeepAlive(ctx) })
	terms.Go(func() {
		err := d.Run(ctx)
		t.Lose()
		n.Log.Warning(eventlog.LeadershipLost).Int64("epoch", int64(t.Epoch)).Err(err).Msg("")
		n.mu.Lock()
		if n.dispatcher == d {
			n.dispatcher, n.term = nil, nil
		}
		n.mu.Unlock()
	})
}

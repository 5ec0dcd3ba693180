// Package peer is the protocol between the system's own processes: QUIC with
// mutual TLS, one stream for each exchange, and packets for gossip beside it
// on the same port.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// ErrNotSent is returned where it is proved that the other side received nothing.
var ErrNotSent = errors.New("peer: not sent")

// ErrBroken is returned where an exchange broke after something was sent.
var ErrBroken = errors.New("peer: exchange broken")

// ErrClosed is returned by a node that does not run.
var ErrClosed = errors.New("peer: node is closed")

// The bounds of connections.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxStreams  = 4096
	openTimeout = 2 * time.Second
	// streamReceiveBytes bounds what one exchange holds unread.
	streamReceiveBytes = 64 << 10
	// connReceiveBytes has room for every exchange of a connection, so that
	// those that are read slowly never hold up the others.
	connReceiveBytes = maxStreams * streamReceiveBytes
)

// The codes with which connections are closed.
const (
	codeDone quic.ApplicationErrorCode = iota
	codeReplaced
)

// A Node is one process as its peers see it.
// Its exported fields are set before Run.
type Node struct {
	// Listen is the address that peers reach.
	Listen netip.AddrPort
	// Keys are the node's keys.
	Keys *KeyRing
	// Handlers answer the exchanges that peers open.
	Handlers *Handlers
	// Log takes the node's events.
	Log *log.Logger
	// Metrics takes the node's counts; nil keeps none.
	Metrics metrics.Registry

	mu        sync.Mutex
	transport *quic.Transport
	links     map[netip.AddrPort]*link
	// sweepAt is at how many links the dead ones are dropped.
	sweepAt   int
	ready     chan struct{}
	readyOnce sync.Once
}

// Ready is closed once the node listens.
func (n *Node) Ready() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readyLocked()
}

func (n *Node) readyLocked() chan struct{} {
	if n.ready == nil {
		n.ready = make(chan struct{})
	}
	return n.ready
}

// Run serves peers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.Listen))
	if err != nil {
		return errors.Wrap(err, "peer: listen")
	}
	defer c.Close()
	t := &quic.Transport{Conn: c}
	l, err := t.Listen(n.Keys.serverConfig(), quicConfig())
	if err != nil {
		return errors.Wrap(err, "peer: listen")
	}
	n.Handlers.Register(operationPing, pong)
	n.open(t)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.accept(ctx, l) })
	g.Go(func() error {
		<-ctx.Done()
		n.close()
		return nil
	})
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// The names of the node's metrics.
const (
	// metricReplaced counts connections that went silent while new ones worked.
	metricReplaced = "peer.connectionsReplaced"
	// metricSilent counts peers that answered on no connection.
	metricSilent = "peer.silent"
)

func (n *Node) count(name string) {
	if n.Metrics != nil {
		metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1)
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamReceiveBytes,
		MaxStreamReceiveWindow:         streamReceiveBytes,
		InitialConnectionReceiveWindow: connReceiveBytes,
		MaxConnectionReceiveWindow:     connReceiveBytes,
	}
}

func (n *Node) open(t *quic.Transport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transport = t
	n.links = make(map[netip.AddrPort]*link)
	n.readyOnce.Do(func() { close(n.readyLocked()) })
}

func (n *Node) close() {
	n.mu.Lock()
	t := n.transport
	n.transport = nil
	links := n.links
	n.links = nil
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	if t != nil {
		t.Close()
	}
}

func (n *Node) accept(ctx context.Context, l *quic.Listener) error {
	for {
		c, err := l.Accept(ctx)
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			return errors.Wrap(err, "peer: accept")
		}
		go n.serve(ctx, c)
	}
}

// serve answers the exchanges of one connection until it ends.
func (n *Node) serve(ctx context.Context, c *quic.Conn) {
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		go n.Handlers.serve(s.Context(), &Stream{s: s}, n.Log)
	}
}

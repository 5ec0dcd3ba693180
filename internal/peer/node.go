// Package peer implements the protocol between the system's own processes: QUIC with mutual
// TLS and one stream for each exchange. Gossip packets share the same port.
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

// ErrNotSent is returned if the peer's handler has certainly received nothing.
var ErrNotSent = errors.New("peer: not sent")

// ErrBroken is returned if an exchange failed after something was sent, so that it may have
// been executed.
var ErrBroken = errors.New("peer: exchange broken")

// ErrClosed is returned by a node that is not running.
var ErrClosed = errors.New("peer: node is not running")

// The limits of connections.
const (
	dialTimeout             = time.Second
	idleTimeout             = 30 * time.Second
	maxStreamsPerConnection = 4096
	openStreamTimeout       = 2 * time.Second
	// streamReceiveBytes bounds the received but unread bytes of one exchange.
	streamReceiveBytes = 64 << 10
	// connReceiveBytes is the sum of the windows of all exchanges of a connection, so that
	// slow readers never block the other exchanges.
	connReceiveBytes = maxStreamsPerConnection * streamReceiveBytes
)

// The application error codes with which connections are closed.
const (
	closeCodeNormal quic.ApplicationErrorCode = iota
	closeCodeUnresponsive
)

// A Node is this process's end of the protocol: it serves exchanges and opens them to peers.
// Its exported fields are set before Run.
type Node struct {
	// Listen is the UDP address to listen on.
	Listen netip.AddrPort
	// Keys holds the node's certificate and the authority it trusts.
	Keys *KeyRing
	// Handlers serves the exchanges that peers open.
	Handlers *Handlers
	// Log receives the node's events.
	Log *log.Logger
	// Metrics holds the node's counters; if it is nil, nothing is counted.
	Metrics metrics.Registry

	mu        sync.Mutex
	transport *quic.Transport
	links     map[netip.AddrPort]*link
	// sweepThreshold is the number of links at which the dead ones are removed.
	sweepThreshold int
	ready          chan struct{}
	readyOnce      sync.Once
}

// Ready returns a channel that is closed once the node listens.
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

// Run listens and serves peers until ctx ends, which is not an error.
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
	n.Handlers.Register(operationPing, handlePing)
	n.start(t)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.acceptConnections(ctx, l) })
	g.Go(func() error {
		<-ctx.Done()
		n.stop()
		return nil
	})
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// The names of the node's metrics.
const (
	// metricReplaced counts connections that became unresponsive while a new connection to
	// the same peer worked.
	metricReplaced = "peer.connectionsReplaced"
	// metricUnresponsive counts the times a peer answered neither on its connection nor on a
	// new one.
	metricUnresponsive = "peer.silent"
)

func (n *Node) incrementCounter(name string) {
	if n.Metrics != nil {
		metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1)
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreamsPerConnection,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamReceiveBytes,
		MaxStreamReceiveWindow:         streamReceiveBytes,
		InitialConnectionReceiveWindow: connReceiveBytes,
		MaxConnectionReceiveWindow:     connReceiveBytes,
	}
}

// start puts the transport in use and closes the ready channel.
func (n *Node) start(t *quic.Transport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transport = t
	n.links = make(map[netip.AddrPort]*link)
	n.readyOnce.Do(func() { close(n.readyLocked()) })
}

// stop closes all connections and the transport.
func (n *Node) stop() {
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

func (n *Node) acceptConnections(ctx context.Context, l *quic.Listener) error {
	for {
		c, err := l.Accept(ctx)
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			return errors.Wrap(err, "peer: accept")
		}
		go n.serveConnection(ctx, c)
	}
}

// serveConnection serves the exchanges of one connection, each in its own goroutine, until
// the connection ends.
func (n *Node) serveConnection(ctx context.Context, c *quic.Conn) {
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		go n.Handlers.serve(s.Context(), &Stream{s: s}, n.Log)
	}
}

package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sesamestream/sesamestream/pkg/decide/liveness"
)

// operationPing is answered by every node.
const operationPing Operation = "ping"

// A watch finds a connection that has gone silent for good. It is driven by
// the exchanges on it and costs nothing while there are none.
type watch struct {
	node *Node
	link *link
	conn *quic.Conn

	mu      sync.Mutex
	machine liveness.Machine
	// heard is the last time of the way there and back that was seen.
	heard  time.Duration
	timer  *time.Timer
	second *quic.Conn
	over   bool
}

// step applies e and carries out what follows.
func (w *watch) step(e liveness.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(e)
}

func (w *watch) stepLocked(e liveness.Event) {
	if w.over {
		return
	}
	if _, watched := w.machine.Wake(); !watched {
		w.heard = w.conn.ConnectionStats().LatestRTT
	}
	for _, a := range w.machine.Step(time.Now(), e, nil) {
		w.carry(a)
	}
	w.schedule()
}

// schedule sets the timer to the machine's wake time.
func (w *watch) schedule() {
	at, ok := w.machine.Wake()
	if w.over || !ok {
		if w.timer != nil {
			w.timer.Stop()
		}
		return
	}
	d := max(time.Until(at), 0)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.tick)
		return
	}
	w.timer.Reset(d)
}

// tick looks whether the peer has acknowledged anything since the last look
// before it lets time pass. Only what is acknowledged is timed (RFC 9002,
// section 5.1), so that a new time of the way there and back tells that both
// directions work; packets that come in tell it of one only.
func (w *watch) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn.Context().Err() != nil {
		w.over = true
		w.dropSecond()
		return
	}
	if rtt := w.conn.ConnectionStats().LatestRTT; rtt != w.heard {
		w.heard = rtt
		w.stepLocked(liveness.Received)
		return
	}
	w.stepLocked(liveness.Tick)
}

// carry runs under the lock and hands what blocks to goroutines.
func (w *watch) carry(a liveness.Action) {
	switch a {
	case liveness.Probe:
		go w.probe()
	case liveness.OpenParallel:
		go w.openSecond()
	case liveness.CloseParallel:
		w.dropSecond()
	case liveness.Replace:
		w.over = true
		if !w.link.replace(w.conn, w.second) {
			w.dropSecond()
		}
		go func() { _ = w.conn.CloseWithError(codeReplaced, "silent") }()
		w.node.count(metricReplaced)
	case liveness.Suspect:
		w.over = true
		w.link.replace(w.conn, nil)
		go func() { _ = w.conn.CloseWithError(codeReplaced, "silent") }()
		w.node.count(metricSilent)
	}
}

func (w *watch) dropSecond() {
	if c := w.second; c != nil {
		go func() { _ = c.CloseWithError(codeDone, "") }()
	}
	w.second = nil
}

// probe asks for any packet on the connection.
func (w *watch) probe() {
	s, err := w.conn.OpenStream()
	if err != nil {
		return
	}
	x := &Stream{s: s}
	_ = s.SetDeadline(time.Now().Add(openTimeout))
	if Send(x, opening{Version: openingVersion, Operation: operationPing}) != nil {
		x.Abort()
		return
	}
	_ = x.CloseWrite()
	_, _ = Receive[struct{}](x)
	x.Abort()
}

// openSecond connects beside the silent connection; the handshake is its probe.
func (w *watch) openSecond() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := w.node.connect(ctx, w.link.to)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.stepLocked(liveness.ParallelFailed)
	case w.over:
		go func() { _ = c.CloseWithError(codeDone, "") }()
	default:
		w.second = c
		w.stepLocked(liveness.ParallelAnswered)
		if !w.over {
			w.dropSecond()
		}
	}
}

func pong(_ context.Context, s *Stream) error {
	return Send(s, struct{}{})
}

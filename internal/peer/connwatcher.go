package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sesamestream/sesamestream/pkg/decide/liveness"
)

// operationPing is the operation of probes, which every node answers.
const operationPing Operation = "ping"

// A connWatcher detects that a connection has become unresponsive and replaces it. It has a
// timer and sends probes only while exchanges on the connection wait for the peer.
type connWatcher struct {
	node *Node
	link *link
	conn *quic.Conn

	mu      sync.Mutex
	machine liveness.Machine
	// lastRTT is the latest RTT sample that was seen. Only a change of it matters.
	lastRTT  time.Duration
	timer    *time.Timer
	parallel *quic.Conn
	stopped  bool
}

// step applies e to the state machine and executes the actions it returns.
func (w *connWatcher) step(e liveness.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(e)
}

// stepLocked is step with w.mu held.
func (w *connWatcher) stepLocked(e liveness.Event) {
	if w.stopped {
		return
	}
	if _, watched := w.machine.Wake(); !watched {
		w.lastRTT = w.conn.ConnectionStats().LatestRTT
	}
	for _, a := range w.machine.Step(time.Now(), e, nil) {
		w.execute(a)
	}
	w.resetTimer()
}

// resetTimer sets the timer to the machine's wake time, or stops it if there is none.
func (w *connWatcher) resetTimer() {
	at, ok := w.machine.Wake()
	if w.stopped || !ok {
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

// tick checks whether the peer has acknowledged anything since the last check before it
// reports that time has passed. RTT samples are taken only from acknowledgements (RFC 9002,
// section 5.1), so a new sample shows that both directions work, whereas received packets
// show it of one direction only.
func (w *connWatcher) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn.Context().Err() != nil {
		w.stopped = true
		w.closeParallel()
		return
	}
	if rtt := w.conn.ConnectionStats().LatestRTT; rtt != w.lastRTT {
		w.lastRTT = rtt
		w.stepLocked(liveness.Received)
		return
	}
	w.stepLocked(liveness.Tick)
}

// execute carries out one action. It runs with w.mu held, so that blocking calls are made in
// goroutines.
func (w *connWatcher) execute(a liveness.Action) {
	switch a {
	case liveness.Probe:
		go w.probe()
	case liveness.OpenParallel:
		go w.openParallel()
	case liveness.CloseParallel:
		w.closeParallel()
	case liveness.Replace:
		w.stopped = true
		if !w.link.replaceConnection(w.conn, w.parallel) {
			w.closeParallel()
		}
		go func() { _ = w.conn.CloseWithError(closeCodeUnresponsive, "silent") }()
		w.node.incrementCounter(metricReplaced)
	case liveness.Suspect:
		w.stopped = true
		w.link.replaceConnection(w.conn, nil)
		go func() { _ = w.conn.CloseWithError(closeCodeUnresponsive, "silent") }()
		w.node.incrementCounter(metricUnresponsive)
	}
}

func (w *connWatcher) closeParallel() {
	if c := w.parallel; c != nil {
		go func() { _ = c.CloseWithError(closeCodeNormal, "") }()
	}
	w.parallel = nil
}

// probe sends a ping on the connection to elicit an acknowledgement.
func (w *connWatcher) probe() {
	s, err := w.conn.OpenStream()
	if err != nil {
		return
	}
	x := &Stream{s: s}
	_ = s.SetDeadline(time.Now().Add(openStreamTimeout))
	if Send(x, streamHeader{Version: streamHeaderVersion, Operation: operationPing}) != nil {
		x.Abort()
		return
	}
	_ = x.CloseWrite()
	_, _ = Receive[struct{}](x)
	x.Abort()
}

// openParallel opens a second connection to the peer of an unresponsive one. Its handshake
// serves as the probe.
func (w *connWatcher) openParallel() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := w.node.connect(ctx, w.link.to)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.stepLocked(liveness.ParallelFailed)
	case w.stopped:
		go func() { _ = c.CloseWithError(closeCodeNormal, "") }()
	default:
		w.parallel = c
		w.stepLocked(liveness.ParallelAnswered)
		if !w.stopped {
			w.closeParallel()
		}
	}
}

// handlePing answers a probe.
func handlePing(_ context.Context, s *Stream) error {
	return Send(s, struct{}{})
}

// Package gossip runs the membership protocol of one process. It exchanges encrypted packets
// with the processes of the fleet and passes them to the state machine of pkg/decide/member,
// which an actor runs.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The errors of Run.
var (
	// ErrSuperseded is returned if a newer incarnation with the same ID is a member.
	ErrSuperseded = errors.New("gossip: a newer incarnation has this ID")
	// ErrTransport is returned if reading from the transport fails.
	ErrTransport = errors.New("gossip: transport failed")
	// ErrNoKey is returned if there is no key to seal packets with.
	ErrNoKey = errors.New("gossip: no key")
)

// readBufferBytes is the size of the buffer for one received packet.
const readBufferBytes = 2048

// A Transport carries packets whose first byte is less than 0x40, which distinguishes them
// from QUIC packets. ReadFrom must return an error once the transport is closed. If the
// transport has a method SetReadDeadline(time.Time) error, Run uses it to interrupt a pending
// read when it ends.
type Transport interface {
	WriteTo(b []byte, to netip.AddrPort) error
	ReadFrom(b []byte) (int, netip.AddrPort, error)
}

// A Gossip runs the membership protocol of one process. Its fields are set before Run.
type Gossip struct {
	System    *actor.ActorSystem
	Self      fleet.Member
	Seeds     []netip.AddrPort
	Transport Transport
	Keys      KeySource
	// Registry holds the counters gossip.sent, gossip.received (bytes) and
	// gossip.dropped (packets); if it is nil, nothing is counted.
	Registry metrics.Registry
	// OnMemberChanged is called for each change of a member of the data centre. The callbacks
	// run one at a time and must not block.
	OnMemberChanged func(member.Info, member.State)
	// OnRevisionSeen is called when the process at from announces a newer revision of the
	// table or a newer confirmation.
	OnRevisionSeen func(r table.Revision, from netip.AddrPort, token uint64)
	// OnSummaryChanged is called for each change of another data centre's summary.
	OnSummaryChanged func(member.Summary)

	mailbox atomic.Pointer[mailbox]
	view    atomic.Pointer[view]
}

// Run takes part in the membership protocol until c ends, which is not an error, or until it
// fails with ErrNoKey, ErrTransport or ErrSuperseded. It doesn't announce that the process
// leaves; AnnounceLeave does.
func (g *Gossip) Run(c context.Context) error {
	if len(g.Keys.Keys()) == 0 {
		return ErrNoKey
	}
	failed := make(chan error, 2)
	p := newMemberActor(g, failed)
	id := g.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return p }))
	m := &mailbox{root: g.System.Root, pid: id}
	g.setMailbox(m)
	readDone := make(chan struct{})
	go g.readPackets(m, failed, readDone)
	err := waitForEnd(c, failed)
	_ = g.System.Root.StopFuture(id).Wait()
	g.mailbox.Store(nil)
	if g.interruptRead() {
		<-readDone
	}
	return err
}

// waitForEnd waits until c ends or an error is received, which it returns.
func waitForEnd(c context.Context, failed <-chan error) error {
	select {
	case <-c.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// interruptRead interrupts a pending read and reports whether the transport supports that.
func (g *Gossip) interruptRead() bool {
	d, ok := g.Transport.(interface{ SetReadDeadline(time.Time) error })
	return ok && d.SetReadDeadline(time.Now()) == nil
}

// readPackets passes received packets to the actor until the transport fails or m is not in
// use any more. It drops packets that cannot be opened.
func (g *Gossip) readPackets(m *mailbox, failed chan<- error, done chan<- struct{}) {
	defer close(done)
	s := sealer{source: g.Keys}
	n := newCounters(g.Registry)
	b := make([]byte, readBufferBytes)
	for {
		size, from, err := g.Transport.ReadFrom(b)
		if g.mailbox.Load() != m {
			return
		}
		if err != nil {
			failed <- errors.WithMessage(ErrTransport, err.Error())
			return
		}
		n.received.Inc(int64(size))
		e, err := s.open(b[:size])
		if err != nil {
			n.dropped.Inc(1)
			continue
		}
		m.send(member.Packet{From: from, Message: e})
	}
}

// newRandom returns a randomly seeded generator.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

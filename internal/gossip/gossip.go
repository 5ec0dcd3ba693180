// Package gossip runs the membership of one process: it carries sealed packets between
// the processes of the fleet and the machine of pkg/decide/member, which an actor holds.
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
	// ErrSuperseded is returned when a newer life with the same ID was met.
	ErrSuperseded = errors.New("gossip: a newer life has this ID")
	// ErrTransport is returned when the transport cannot be read any more.
	ErrTransport = errors.New("gossip: transport failed")
	// ErrNoKey is returned when no key is there to seal with.
	ErrNoKey = errors.New("gossip: no key")
)

const readSize = 2048

// A Transport carries packets whose first byte is less than 0x40, which sets them apart from QUIC.
// ReadFrom ends with an error once the transport is closed; a transport that has
// SetReadDeadline(time.Time) error is interrupted by it when Run ends.
type Transport interface {
	WriteTo(b []byte, to netip.AddrPort) error
	ReadFrom(b []byte) (int, netip.AddrPort, error)
}

// A Gossip is the membership of one process. Its fields are set before Run.
type Gossip struct {
	System    *actor.ActorSystem
	Self      fleet.Member
	Seeds     []netip.AddrPort
	Transport Transport
	Keys      KeySource
	// Registry takes the counters gossip.sent, gossip.received (bytes) and
	// gossip.dropped (packets); without it they are not kept.
	Registry metrics.Registry
	// OnMemberChanged is called for each change of a member of the data centre. Callbacks run
	// one at a time and must not block.
	OnMemberChanged func(member.Info, member.State)
	// OnRevisionSeen is called when the process at from has a newer revision or confirmation.
	OnRevisionSeen func(r table.Revision, from netip.AddrPort, token uint64)
	// OnSummaryChanged is called for news of another data centre.
	OnSummaryChanged func(member.Summary)

	mailbox atomic.Pointer[mailbox]
	view    atomic.Pointer[view]
}

// Run takes part in the membership until c ends, which is no error, or until it fails with
// ErrNoKey, ErrTransport or ErrSuperseded. It announces no leave; Leave does.
func (g *Gossip) Run(c context.Context) error {
	if len(g.Keys.Keys()) == 0 {
		return ErrNoKey
	}
	failed := make(chan error, 2)
	p := newProcess(g, failed)
	id := g.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return p }))
	m := &mailbox{root: g.System.Root, id: id}
	g.deliver(m)
	read := make(chan struct{})
	go g.read(m, failed, read)
	err := wait(c, failed)
	_ = g.System.Root.StopFuture(id).Wait()
	g.mailbox.Store(nil)
	if g.interrupt() {
		<-read
	}
	return err
}

func wait(c context.Context, failed <-chan error) error {
	select {
	case <-c.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// interrupt ends a read that waits, and reports whether the transport can do so.
func (g *Gossip) interrupt() bool {
	d, ok := g.Transport.(interface{ SetReadDeadline(time.Time) error })
	return ok && d.SetReadDeadline(time.Now()) == nil
}

// read passes packets on to the actor until the transport fails or the actor is gone.
func (g *Gossip) read(m *mailbox, failed chan<- error, done chan<- struct{}) {
	defer close(done)
	s := sealer{source: g.Keys}
	n := newCounters(g.Registry)
	b := make([]byte, readSize)
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

func random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

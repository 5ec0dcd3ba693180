package gossip_test

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/gossip"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

type packet struct {
	b    []byte
	from netip.AddrPort
}

// A hub is a network in memory; each port of it is a Transport.
type hub struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]*port
	first byte
}

type port struct {
	hub  *hub
	addr netip.AddrPort
	in   chan packet
	done chan struct{}
	once sync.Once
}

func (h *hub) port(a netip.AddrPort) *port {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &port{hub: h, addr: a, in: make(chan packet, 256), done: make(chan struct{})}
	h.ports[a] = p
	return p
}

func (p *port) WriteTo(b []byte, to netip.AddrPort) error {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	p.hub.first |= b[0]
	if q := p.hub.ports[to]; q != nil {
		select {
		case q.in <- packet{append([]byte(nil), b...), p.addr}:
		default:
		}
	}
	return nil
}

func (p *port) ReadFrom(b []byte) (int, netip.AddrPort, error) {
	select {
	case x := <-p.in:
		return copy(b, x.b), x.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, io.EOF
	}
}

func (p *port) SetReadDeadline(time.Time) error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20000+i))
}

func newSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
}

func newGossip(s *actor.ActorSystem, i int, t gossip.Transport, k gossip.KeySource) *gossip.Gossip {
	return &gossip.Gossip{
		System: s,
		Self: fleet.Member{
			ProcessIncarnation: fleet.ProcessIncarnation{ID: fleet.ID(rune('a' + i)), Incarnation: 1},
			Role:               fleet.RoleAgent,
			Place:              fleet.Place{Region: "nam-bo", DataCentre: "mui-ne"},
			Address:            address(i),
		},
		Seeds:     []netip.AddrPort{address(0)},
		Transport: t,
		Keys:      k,
	}
}

func TestGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &hub{ports: map[netip.AddrPort]*port{}}
		system := newSystem()
		old, next := gossip.Key{1}, gossip.Key{2}
		rings := make([]*gossip.KeyRing, 4)
		gs := make([]*gossip.Gossip, 4)
		errs := make(chan error, 5)
		ctx, cancel := context.WithCancel(t.Context())
		var seen sync.Map
		left := make(chan fleet.ID, 8)
		var suspicions atomic.Int32
		for i := range gs {
			rings[i] = &gossip.KeyRing{}
			rings[i].Set([]gossip.Key{old})
			gs[i] = newGossip(system, i, h.port(address(i)), rings[i])
			gs[i].OnRevisionSeen = func(r table.Revision, from netip.AddrPort, _ uint64) { seen.Store(gs[i].Self.ID, r) }
			gs[i].OnMemberChanged = func(m member.Info, s member.State) {
				switch s {
				case member.Left:
					left <- m.ID
				case member.Suspect:
					suspicions.Add(1)
				}
			}
		}
		rings[3].Set([]gossip.Key{{9}}) // a stranger
		for _, x := range gs {
			go func() { errs <- x.Run(ctx) }()
		}
		time.Sleep(10 * time.Second)
		g.Expect(gs[1].Members()).To(HaveLen(2))
		g.Expect(gs[3].Members()).To(BeEmpty())

		// Keys are replaced without anyone being suspected.
		for _, ks := range [][]gossip.Key{{old, next}, {next, old}, {next}} {
			for _, r := range rings[:3] {
				r.Set(ks)
				time.Sleep(3 * time.Second)
			}
		}
		g.Expect(suspicions.Load()).To(BeZero())
		gs[0].SetOffers([]member.Offer{{Kind: "gust", Limit: 5}})
		gs[0].SetRevision(7, 1)
		time.Sleep(2 * time.Second)
		g.Expect(gs[2].Members()).To(HaveLen(2))
		g.Expect(gs[2].Agents("gust")).To(Equal([]gossip.Agent{{Member: gs[0].Self, Limit: 5}}))
		r, _ := seen.Load(gs[2].Self.ID)
		g.Expect(r).To(Equal(table.Revision(7)))
		watchers := 0
		for _, x := range gs[:3] {
			g.Expect(x.PreferredOwners(4, 3)).To(Equal(gs[0].PreferredOwners(4, 3)))
			if x.IsStoreWatcher() {
				watchers++
			}
		}
		g.Expect(watchers).To(Equal(2))

		gs[0].AnnounceLeave()
		time.Sleep(time.Second)
		g.Expect(left).To(HaveLen(2))
		g.Expect(gs[1].Agents("gust")).To(BeEmpty())

		// An older life with a known ID is told to end, and the rest ends with its context.
		x := newGossip(system, 1, h.port(address(9)), rings[1])
		x.Self.Incarnation = 0
		x.Seeds = []netip.AddrPort{address(2)}
		short, end := context.WithTimeout(ctx, 20*time.Second)
		g.Expect(errors.Is(x.Run(short), gossip.ErrSuperseded)).To(BeTrue())
		end()
		cancel()
		for range gs {
			g.Expect(<-errs).To(Succeed())
		}
		g.Expect(gs[1].SetRevision(8, 1)).To(BeFalse())
		g.Expect(h.first).To(BeNumerically("<", 0x40))
		system.Shutdown()
		// A message to an actor that has ended starts a timer of a second in the
		// actor library, which must end before the test does.
		time.Sleep(2 * time.Second)
	})
}

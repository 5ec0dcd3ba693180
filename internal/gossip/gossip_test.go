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

type memoryPacket struct {
	b    []byte
	from netip.AddrPort
}

// A memoryNetwork is an in-memory network. Each of its ports is a Transport.
type memoryNetwork struct {
	mu         sync.Mutex
	ports      map[netip.AddrPort]*memoryPort
	firstBytes byte
}

type memoryPort struct {
	network  *memoryNetwork
	addr     netip.AddrPort
	received chan memoryPacket
	done     chan struct{}
	once     sync.Once
}

func (h *memoryNetwork) newPort(a netip.AddrPort) *memoryPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &memoryPort{network: h, addr: a, received: make(chan memoryPacket, 256), done: make(chan struct{})}
	h.ports[a] = p
	return p
}

func (p *memoryPort) WriteTo(b []byte, to netip.AddrPort) error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.firstBytes |= b[0]
	if q := p.network.ports[to]; q != nil {
		select {
		case q.received <- memoryPacket{append([]byte(nil), b...), p.addr}:
		default:
		}
	}
	return nil
}

func (p *memoryPort) ReadFrom(b []byte) (int, netip.AddrPort, error) {
	select {
	case x := <-p.received:
		return copy(b, x.b), x.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, io.EOF
	}
}

func (p *memoryPort) SetReadDeadline(time.Time) error {
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
		h := &memoryNetwork{ports: map[netip.AddrPort]*memoryPort{}}
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
			gs[i] = newGossip(system, i, h.newPort(address(i)), rings[i])
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
		rings[3].Set([]gossip.Key{{9}}) // A process with a foreign key.
		for _, x := range gs {
			go func() { errs <- x.Run(ctx) }()
		}
		time.Sleep(10 * time.Second)
		g.Expect(gs[1].Members()).To(HaveLen(2))
		g.Expect(gs[3].Members()).To(BeEmpty())

		// Rotating the keys must not cause suspicions.
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

		// An older incarnation of a known ID must end with ErrSuperseded, and the other
		// members without an error when their context ends.
		x := newGossip(system, 1, h.newPort(address(9)), rings[1])
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
		g.Expect(h.firstBytes).To(BeNumerically("<", 0x40))
		system.Shutdown()
		// A message to a stopped actor starts a timer of one second in the actor library,
		// which must expire before the test ends.
		time.Sleep(2 * time.Second)
	})
}

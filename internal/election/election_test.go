package election_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

const ttl = 1200 * time.Millisecond

func elector(s *memory.Store, name string) (*election.Elector, *memory.Client) {
	c := &memory.Client{Store: s}
	return &election.Elector{Store: c, Node: name, Address: netip.MustParseAddrPort("10.0.0.1:7000"), TTL: ttl}, c
}

// leading starts the term of a new leader on an empty store; it's kept until the test ends.
func leading(t *testing.T) (*memory.Store, *election.Elector, *memory.Client, *election.Term) {
	s := &memory.Store{}
	a, c := elector(s, "a")
	one, err := a.TryAcquire(t.Context())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go one.KeepAlive(t.Context())
	return s, a, c, one
}

func lost(t *election.Term) bool {
	select {
	case <-t.Lost():
		return true
	default:
		return false
	}
}

// A killed leader is replaced after its lease, and its epoch is below the next one's.
func TestNextTermBeginsAfterLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &memory.Store{}
		a, _ := elector(s, "a")
		b, _ := elector(s, "b")
		ctx, cancel := context.WithCancel(t.Context())
		one, err := a.TryAcquire(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		go one.KeepAlive(ctx)
		time.Sleep(5 * time.Second)
		_, err = b.TryAcquire(t.Context())
		g.Expect(err).To(MatchError(election.ErrLeaderExists))
		cancel()
		time.Sleep(ttl + time.Millisecond)
		_, err = b.Current(t.Context())
		g.Expect(err).To(MatchError(kv.ErrNotFound))
		two, err := b.TryAcquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(two.Epoch).To(BeNumerically(">", one.Epoch))
		two.Resign(t.Context())
		_, err = a.Current(t.Context())
		g.Expect(err).To(MatchError(kv.ErrNotFound), "who resigns leaves the lead at once")
	})
}

// Leases that end while the store is away, with nobody else to lead, don't end the term.
func TestTermContinuesUnderSameEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, a, c, one := leading(t)
		c.Set(memory.Faults{Down: true})
		time.Sleep(4 * time.Second)
		g.Expect(time.Since(one.LastContact())).To(BeNumerically(">", 3*time.Second))
		c.Set(memory.Faults{})
		time.Sleep(2 * time.Second)
		g.Expect(lost(one)).To(BeFalse())
		l, err := a.Current(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Node).To(Equal("a"))
		g.Expect(time.Since(one.LastContact())).To(BeNumerically("<", ttl))
	})
}

// Another term that began meanwhile ends the first for good.
func TestTermEndsAfterAnotherBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, _, c, one := leading(t)
		b, _ := elector(s, "b")
		c.Set(memory.Faults{Down: true})
		time.Sleep(3 * time.Second)
		two, err := b.TryAcquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		go two.KeepAlive(t.Context())
		c.Set(memory.Faults{})
		time.Sleep(3 * time.Second)
		g.Expect(lost(one)).To(BeTrue())
		g.Expect(lost(two)).To(BeFalse())
	})
}

// A renewal whose answer alone is lost is confirmed by the key.
func TestLostAnswersKeepContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, _, c, one := leading(t)
		c.Set(memory.Faults{LoseAnswers: true})
		time.Sleep(4 * time.Second)
		g.Expect(time.Since(one.LastContact())).To(BeNumerically("<", ttl))
	})
}

// Processes that start while nobody leads learn from the last term whom to leave the lead to.
func TestEpochRecordsStrongest(t *testing.T) {
	g := NewWithT(t)
	s := &memory.Store{}
	a, _ := elector(s, "a")
	b, _ := elector(s, "b")
	known, err := b.LastStrongest(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeZero(), "no term yet")
	a.Strongest = func() float64 { return 0.4 }
	_, err = a.TryAcquire(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.LastStrongest(t.Context())).To(Equal(0.4))
}

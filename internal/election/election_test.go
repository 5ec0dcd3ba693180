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

// newElector returns the elector of a named process, and its client of the store.
func newElector(s *memory.Store, name string) (*election.Elector, *memory.Client) {
	c := &memory.Client{Store: s}
	return &election.Elector{Store: c, Node: name, Address: netip.MustParseAddrPort("10.0.0.1:7000"), TTL: ttl}, c
}

// newLeader starts a term on an empty store and keeps it alive until the test ends.
func newLeader(t *testing.T) (*memory.Store, *election.Elector, *memory.Client, *election.Term) {
	s := &memory.Store{}
	a, c := newElector(s, "a")
	one, err := a.TryAcquire(t.Context())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go one.KeepAlive(t.Context())
	return s, a, c, one
}

func isLost(t *election.Term) bool {
	select {
	case <-t.Lost():
		return true
	default:
		return false
	}
}

// A killed leader is replaced once its lease expires, and the next term has a
// higher epoch.
func TestNextTermBeginsAfterLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &memory.Store{}
		a, _ := newElector(s, "a")
		b, _ := newElector(s, "b")
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
		g.Expect(err).To(MatchError(kv.ErrNotFound), "resigning gives up the leadership at once")
	})
}

// A lease that expires while the leader can't reach the store doesn't end the term
// if no other process becomes the leader.
func TestTermContinuesUnderSameEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, a, c, one := newLeader(t)
		c.Set(memory.Faults{Down: true})
		time.Sleep(4 * time.Second)
		g.Expect(time.Since(one.LastContact())).To(BeNumerically(">", 3*time.Second))
		c.Set(memory.Faults{})
		time.Sleep(2 * time.Second)
		g.Expect(isLost(one)).To(BeFalse())
		l, err := a.Current(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Node).To(Equal("a"))
		g.Expect(time.Since(one.LastContact())).To(BeNumerically("<", ttl))
	})
}

// A term ends if another one began while the leader couldn't reach the store.
func TestTermEndsAfterAnotherBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, _, c, one := newLeader(t)
		b, _ := newElector(s, "b")
		c.Set(memory.Faults{Down: true})
		time.Sleep(3 * time.Second)
		two, err := b.TryAcquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		go two.KeepAlive(t.Context())
		c.Set(memory.Faults{})
		time.Sleep(3 * time.Second)
		g.Expect(isLost(one)).To(BeTrue())
		g.Expect(isLost(two)).To(BeFalse())
	})
}

// A renewal that took effect but whose answer was lost is confirmed by reading the key.
func TestLostAnswersKeepContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, _, c, one := newLeader(t)
		c.Set(memory.Faults{LoseAnswers: true})
		time.Sleep(4 * time.Second)
		g.Expect(time.Since(one.LastContact())).To(BeNumerically("<", ttl))
	})
}

// A process that starts while there is no leader learns the strength of the strongest
// process from the last term, so that it can leave the leadership to it.
func TestEpochRecordsStrongest(t *testing.T) {
	g := NewWithT(t)
	s := &memory.Store{}
	a, _ := newElector(s, "a")
	b, _ := newElector(s, "b")
	known, err := b.LastStrongest(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeZero(), "no term yet")
	a.Strongest = func() float64 { return 0.4 }
	_, err = a.TryAcquire(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.LastStrongest(t.Context())).To(Equal(0.4))
}

// A new leader knows from which term it takes over, and from whom, as it waits for the leases of that term.
func TestTermNamesThePreviousOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &memory.Store{}
		a, _ := newElector(s, "a")
		b, _ := newElector(s, "b")
		one, err := a.TryAcquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(one.Previous).To(BeZero())
		time.Sleep(ttl + time.Millisecond)
		two, err := b.TryAcquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(two.Previous).To(Equal(election.PreviousTerm{Epoch: one.Epoch, Leader: election.Leader{Node: "a", Address: a.Address}}))
	})
}

package member_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() { _ = flag.Set("rapid.seed", "7") }

// A fault affects the node n, or its links, in a network.
type fault struct {
	name string
	// start starts the fault and returns the function that ends it.
	start func(w *network, n *node) (end func())
}

var faults = []fault{
	{"crash", func(_ *network, n *node) func() { n.down = true; return func() {} }},
	{"restart", func(w *network, n *node) func() {
		n.down = true
		w.run(2 * time.Second)
		w.restart(n)
		return func() {}
	}},
	{"late restart", func(w *network, n *node) func() { n.down = true; return func() { w.restart(n) } }},
	{"pause", func(w *network, n *node) func() { n.pausedUntil = w.now.Add(45 * time.Second); return func() {} }},
	{"cannot send", func(w *network, n *node) func() {
		return w.cutLinks(func(a, b *node) bool { return a == n && b != n })
	}},
	{"cannot receive", func(w *network, n *node) func() {
		return w.cutLinks(func(a, b *node) bool { return b == n && a != n })
	}},
	{"one-way loss between two", func(w *network, n *node) func() {
		return w.cutLinks(func(a, b *node) bool { return a == n && b == w.nodes[1] })
	}},
	{"halves", func(w *network, n *node) func() {
		return w.cutLinks(func(a, b *node) bool { return (a.self.ID < n.self.ID) != (b.self.ID < n.self.ID) })
	}},
	{"data centre cut off", func(w *network, n *node) func() {
		return w.cutLinks(func(a, b *node) bool { return (a.dataCentre == n.dataCentre) != (b.dataCentre == n.dataCentre) })
	}},
	{"leave", func(w *network, n *node) func() {
		w.step(n, member.Leave{})
		w.run(time.Second)
		n.down = true
		return func() {}
	}},
}

// cutLinks drops the packets on the links that c selects, until the returned function is called.
func (w *network) cutLinks(c func(a, b *node) bool) func() {
	active, previous := true, w.cut
	w.cut = func(a, b *node) bool { return active && c(a, b) || previous(a, b) }
	return func() { active = false }
}

// sawResurrection reports whether some node saw a change of an older incarnation after one
// of a newer incarnation, or a state besides Left of an incarnation that had left.
func (w *network) sawResurrection() bool {
	for _, n := range w.nodes {
		newest, left := map[fleet.ID]fleet.Incarnation{}, map[fleet.ProcessIncarnation]bool{}
		for _, c := range n.changes {
			if c.identity.Incarnation < newest[c.identity.ID] || left[c.identity] && c.state != member.Left {
				return true
			}
			newest[c.identity.ID] = c.identity.Incarnation
			left[c.identity] = left[c.identity] || c.state == member.Left
		}
	}
	return false
}

func TestViewsConvergeAfterOneOrTwoFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w := newNetwork(rapid.Uint64().Draw(t, "seed"), 9, 4)
		w.run(30 * time.Second)
		g.Expect(w.viewsAgree()).To(BeTrue(), "joined")
		w.loss = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss")
		var ends []func()
		for range rapid.IntRange(1, 2).Draw(t, "faults") {
			f := rapid.SampledFrom(faults).Draw(t, "fault")
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, f.name)]
			ends = append(ends, f.start(w, n))
			w.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "apart")) * time.Second)
		}
		w.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "lasting")) * time.Second)
		for _, end := range ends {
			end()
		}
		w.run(60 * time.Second)
		w.loss = 0
		w.run(90 * time.Second)
		g.Expect(w.err).NotTo(HaveOccurred())
		g.Expect(w.viewsAgree()).To(BeTrue(), "healed")
		g.Expect(w.sawResurrection()).To(BeFalse())
		for _, n := range w.nodes {
			g.Expect(n.down || len(n.RemoteDataCentres()) == 1 || len(n.Members()) >= member.BridgeCount).To(BeTrue())
		}
	})
}

func TestVerdictOnFaultyMember(t *testing.T) {
	for _, c := range []struct {
		fault  string
		lasts  time.Duration
		others member.State // The state of the node at the other members after the fault has lasted.
		within time.Duration
	}{
		{"crash", 0, member.Dead, 30 * time.Second},
		{"cannot send", time.Minute, member.Dead, 30 * time.Second},
		{"cannot receive", time.Minute, member.Dead, 30 * time.Second},
		{"one-way loss between two", time.Minute, member.Alive, 0},
		{"data centre cut off", 4 * time.Minute, member.Alive, 0},
		{"leave", 0, member.Left, 3 * time.Second},
	} {
		t.Run(c.fault, func(t *testing.T) {
			g := NewWithT(t)
			w := newNetwork(3, 20, 10)
			w.run(30 * time.Second)
			n, t0 := w.nodes[7], w.now
			for _, f := range faults {
				if f.name == c.fault {
					f.start(w, n)
				}
			}
			w.run(max(c.lasts, c.within) - w.now.Sub(t0))
			for _, o := range w.nodes {
				if s, _, _ := o.State(n.self.ID); o != n && o.dataCentre == n.dataCentre {
					g.Expect(s).To(Equal(c.others), "%s", o.self.ID)
				}
			}
			if c.others == member.Alive {
				g.Expect(w.countVerdicts(member.Suspect, t0)).To(BeZero())
			}
			// Reachable members declare no other member dead.
			for _, o := range w.nodes {
				for _, x := range o.changes {
					g.Expect(o == n || x.identity.ID == n.self.ID || x.state < member.Dead).To(BeTrue())
				}
			}
		})
	}
}

// TestPausedProcessDeclaresNobodyDead guards against a process that declares a suspect dead
// after a pause, in which it could not handle a refutation.
func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(5, 3)
	w.run(30 * time.Second)
	n, x := w.nodes[0], w.nodes[1]
	w.cut = func(_, _ *node) bool { return true }
	u := member.Update{State: member.Suspect, Identity: x.self.ProcessIncarnation, Version: 1, SuspectedBy: w.nodes[2].self.ID}
	from := w.nodes[2].self
	w.step(n, member.Packet{From: from.Address, Message: member.Message{Type: member.Gossip, From: from.ProcessIncarnation, Updates: []member.Update{u}}})
	n.Step(w.now.Add(900*time.Millisecond), member.Tick{}, nil)
	for _, a := range n.Step(w.now.Add(time.Minute), member.Tick{}, nil) {
		_, changed := a.(member.Changed)
		g.Expect(changed).To(BeFalse(), "%v", a)
	}
	s, _, _ := n.State(x.self.ID)
	g.Expect(s).To(Equal(member.Suspect))
	g.Expect(n.HealthScore()).To(BeNumerically(">", 0))
}

func TestMemberThatMissedUpdatesRepairsItsView(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(5, 60)
	w.run(time.Minute)
	n, x := w.nodes[7], w.nodes[40]
	end := w.cutLinks(func(_, b *node) bool { return b == n })
	w.cutLinks(func(a, b *node) bool { return a == n && b == x || a == x && b == n })
	w.step(x, member.SetOffers{Offers: []member.Offer{{Kind: "certificate", Limit: 1}}})
	w.run(3 * time.Second)
	end()
	w.run(15 * time.Second)
	for _, i := range n.Members() {
		if i.ID == x.self.ID {
			g.Expect(i.Offers).To(HaveLen(1))
		}
	}
}

func TestRevisionReachesRegionsAfterPartition(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(6, 6, 6, 6, 6, 6) // Data centres 0-2 and 3-4 are two regions.
	w.run(30 * time.Second)
	end := w.cutLinks(func(a, b *node) bool { return a.self.Place.Region != b.self.Place.Region })
	w.run(3 * time.Minute)
	w.step(w.nodes[2], member.SetRevision{Revision: 9, Token: 1})
	w.run(10 * time.Second)
	g.Expect(w.nodes[8].revision).To(BeEquivalentTo(9))
	g.Expect(w.nodes[20].revision).To(BeZero())
	end()
	w.run(15 * time.Second)
	for _, n := range w.nodes[3:] {
		g.Expect(n.revision).To(BeEquivalentTo(9), "%s", n.self.ID)
	}
	g.Expect(w.countVerdicts(member.Dead, epoch)).To(BeZero())
}

func TestEntriesKnowTheKindsOfEveryDataCentre(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(8, 12, 12, 12, 12)
	w.run(40 * time.Second)
	for _, n := range w.nodes {
		if n.self.Role != fleet.RoleEntry {
			continue
		}
		g.Expect(n.RemoteDataCentres()).To(HaveLen(3))
		for _, r := range n.RemoteDataCentres() {
			g.Expect(r.Summary.Kinds).To(Equal([]member.KindSummary{
				{Kind: "gust", Agents: 11, Capacity: 704, Used: 33},
				{Kind: "forecast", Agents: 11, Capacity: 88},
			}))
			g.Expect(len(r.Summary.Contacts)).To(BeNumerically(">", 8))
			g.Expect(w.now.Sub(r.ReceivedAt)).To(BeNumerically("<", 2*member.ExchangeInterval))
		}
	}
}

// TestRestartWithOlderIncarnationIsSuperseded restarts a process whose clock, and hence
// whose incarnation, is behind that of its last run.
func TestRestartWithOlderIncarnationIsSuperseded(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(9, 5)
	w.run(10 * time.Second)
	n := w.nodes[3]
	n.self.Incarnation = 0
	w.boot(n)
	w.run(10 * time.Second)
	g.Expect(n.superseded).To(BeEquivalentTo(1))
}

func TestPreferredOwnersMovesOnlyShardsOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ms := make([]fleet.Member, 0, 20)
		for _, n := range newNetwork(1, 20).nodes {
			ms = append(ms, n.self)
		}
		shard := rapid.IntRange(0, 1<<20).Draw(t, "shard")
		before := member.PreferredOwners(shard, ms, 3)
		i := rapid.IntRange(0, len(ms)-1).Draw(t, "gone")
		gone := ms[i].ID
		ms[i] = ms[len(ms)-1]
		after := member.PreferredOwners(shard, ms[:len(ms)-1], 3)
		g.Expect(after).To(HaveLen(3))
		g.Expect(before).NotTo(ContainElement(fleet.ID("host-00-0000")), "an entry owns no shard")
		want := before[:0:0]
		for _, id := range before {
			if id != gone {
				want = append(want, id)
			}
		}
		g.Expect(after[:len(want)]).To(Equal(want))
	})
}

// TestSeedsInOtherDataCentresDoNotDelayJoin starts all processes at once with one seed in
// each data centre. Every process must know its own data centre within 2 s.
func TestSeedsInOtherDataCentresDoNotDelayJoin(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		w := newNetwork(seed, 3, 3, 3, 3, 3)
		for i := 0; i < len(w.nodes); i += 3 {
			w.seeds = append(w.seeds, w.nodes[i].self.Address)
		}
		w.deliveries = nil
		for _, n := range w.nodes {
			w.boot(n)
		}
		w.run(2 * time.Second)
		for _, n := range w.nodes {
			g.Expect(n.Members()).To(HaveLen(2), "%s, seed %d", n.self.ID, seed)
		}
	}
}

package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

type node struct {
	member.Machine
	self           fleet.Member
	at             int
	down           bool
	paused         time.Time
	sent, received int
	rev            table.Revision
	revAt          time.Time
	states         map[fleet.ID]member.State
	changes        []change
	superseded     fleet.Incarnation
}

type change struct {
	at    time.Time
	life  fleet.ProcessIncarnation
	state member.State
}

type delivery struct {
	at  time.Time
	seq int
	to  *node
	run member.Event
}

type queue []delivery

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	o := *q
	d := o[len(o)-1]
	*q = o[:len(o)-1]
	return d
}

// A network is a set of machines that exchange encoded packets in virtual time.
type network struct {
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	now    time.Time
	q      queue
	seq    int
	rnd    *rand.Rand
	loss   float64
	// cut reports whether packets from a to b are lost.
	cut func(a, b *node) bool
	err error
	// seeds are what processes that boot join by, two of all where it is nil.
	seeds []netip.AddrPort
}

var epoch = time.Unix(1_700_000_000, 0)

func newNetwork(seed uint64, sizes ...int) *network {
	w := &network{
		byAddr: map[netip.AddrPort]*node{},
		now:    epoch,
		rnd:    rand.New(rand.NewPCG(seed, 1)),
		cut:    func(_, _ *node) bool { return false },
	}
	for dc, n := range sizes {
		for i := range n {
			w.add(dc, i)
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func (w *network) add(dc, i int) *node {
	k := len(w.nodes)
	n := &node{at: dc, self: fleet.Member{
		ProcessIncarnation: fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprintf("host-%02d-%04d", dc, i)), Incarnation: 1},
		Role:               fleet.RoleAgent,
		Place:              fleet.Place{Region: fmt.Sprintf("region-%d", dc/3), DataCentre: fmt.Sprintf("dc-%02d", dc), Rack: fmt.Sprint(i / 3)},
		Address:            netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), byte(k >> 8), byte(k)}), 4000),
	}}
	if i == 0 {
		n.self.Role = fleet.RoleEntry
	}
	w.nodes = append(w.nodes, n)
	w.byAddr[n.self.Address] = n
	return n
}

// boot starts a life of n that knows two seeds.
func (w *network) boot(n *node) {
	n.Machine = member.Machine{Random: rand.New(rand.NewPCG(w.rnd.Uint64(), 2))}
	n.down, n.rev, n.states = false, 0, map[fleet.ID]member.State{}
	seeds := w.seeds
	if seeds == nil {
		seeds = []netip.AddrPort{w.nodes[0].self.Address, w.nodes[len(w.nodes)/2].self.Address}
	}
	w.step(n, member.Start{Self: n.self, Seeds: seeds})
	if n.self.Role == fleet.RoleAgent {
		w.step(n, member.SetOffers{Offers: []member.Offer{{Kind: "gust", Limit: 64}, {Kind: "forecast", Limit: 8}}})
		w.step(n, member.SetLoads{Loads: []member.Load{{Kind: "gust", Used: 3}}})
	}
}

func (w *network) restart(n *node) {
	n.self.Incarnation++
	w.boot(n)
}

func (w *network) post(at time.Time, to *node, e member.Event) {
	w.seq++
	heap.Push(&w.q, delivery{at, w.seq, to, e})
}

func (w *network) step(n *node, e member.Event) {
	if n.down {
		return
	}
	for _, a := range n.Step(w.now, e, nil) {
		w.act(n, a)
	}
	if t, ok := n.Wake(); ok {
		w.post(later(t, w.now.Add(time.Millisecond)), n, member.Tick{})
	}
}

func (w *network) act(n *node, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		w.carry(n, a)
	case member.Changed:
		n.states[a.Info.ID] = a.State
		n.changes = append(n.changes, change{w.now, a.Info.ProcessIncarnation, a.State})
	case member.Superseded:
		n.superseded = a.Incarnation
	case member.RevisionSeen:
		if a.Revision > n.rev {
			n.rev, n.revAt = a.Revision, w.now
			w.post(w.now.Add(5*time.Millisecond), n, member.SetRevision{Revision: a.Revision, Token: a.Token})
		}
	}
}

func (w *network) carry(n *node, a member.Send) {
	b, err := member.Encode(&a.Message)
	if err != nil {
		w.err = errors.Wrapf(err, "type %d updates %d summaries %d", a.Message.Type, len(a.Message.Updates), len(a.Message.Summaries))
		return
	}
	n.sent += len(b) + 41
	to := w.byAddr[a.To]
	if to == nil || w.rnd.Float64() < w.loss || w.cut(n, to) {
		return
	}
	g, err := member.Decode(b)
	if err != nil {
		w.err = err
		return
	}
	to.received += len(b) + 41
	d := time.Millisecond
	if n.self.Place.Region != to.self.Place.Region {
		d = 30 * time.Millisecond
	}
	w.post(w.now.Add(d), to, member.Packet{From: n.self.Address, Message: g})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// run lets d pass; a tick that a newer Wake replaced is dropped.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.q) > 0 && !w.q[0].at.After(end) {
		x := heap.Pop(&w.q).(delivery)
		w.now = x.at
		if x.to.paused.After(w.now) {
			w.post(x.to.paused, x.to, x.run)
			continue
		}
		if _, tick := x.run.(member.Tick); tick {
			if t, ok := x.to.Wake(); !ok || t.After(w.now) {
				continue
			}
		}
		w.step(x.to, x.run)
	}
	w.now = end
}

// agree reports whether all running members of each data centre hold each other alive and no other.
func (w *network) agree() bool {
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		for _, o := range w.nodes {
			if o == n || o.at != n.at {
				continue
			}
			s, l, ok := n.State(o.self.ID)
			held := ok && s <= member.Suspect
			if held != !o.down || held && l != o.self.ProcessIncarnation {
				return false
			}
		}
	}
	return w.err == nil
}

// verdicts counts the changes to s since t.
func (w *network) verdicts(s member.State, t time.Time) int {
	c := 0
	for _, n := range w.nodes {
		for _, x := range n.changes {
			if x.state == s && !x.at.Before(t) {
				c++
			}
		}
	}
	return c
}

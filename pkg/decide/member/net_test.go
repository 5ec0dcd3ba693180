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

// A node is a process in the network, with what it sent, received and reported.
type node struct {
	member.Machine
	self           fleet.Member
	dataCentre     int
	down           bool
	pausedUntil    time.Time
	sent, received int
	revision       table.Revision
	revisionAt     time.Time
	states         map[fleet.ID]member.State
	changes        []change
	superseded     fleet.Incarnation
}

type change struct {
	at       time.Time
	identity fleet.ProcessIncarnation
	state    member.State
}

type delivery struct {
	at    time.Time
	seq   int
	to    *node
	event member.Event
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
	nodes      []*node
	byAddr     map[netip.AddrPort]*node
	now        time.Time
	deliveries queue
	seq        int
	rnd        *rand.Rand
	// loss is the share of packets that are lost.
	loss float64
	// cut reports whether packets from a to b are lost.
	cut func(a, b *node) bool
	err error
	// seeds are the seeds of processes that boot; if nil, two of the nodes are.
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
			w.addNode(dc, i)
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func (w *network) addNode(dc, i int) *node {
	k := len(w.nodes)
	n := &node{dataCentre: dc, self: fleet.Member{
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

// boot starts an incarnation of n, with w.seeds or with two seeds, and with offers and
// loads if n is an agent.
func (w *network) boot(n *node) {
	n.Machine = member.Machine{Random: rand.New(rand.NewPCG(w.rnd.Uint64(), 2))}
	n.down, n.revision, n.states = false, 0, map[fleet.ID]member.State{}
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

func (w *network) schedule(at time.Time, to *node, e member.Event) {
	w.seq++
	heap.Push(&w.deliveries, delivery{at, w.seq, to, e})
}

func (w *network) step(n *node, e member.Event) {
	if n.down {
		return
	}
	for _, a := range n.Step(w.now, e, nil) {
		w.handle(n, a)
	}
	if t, ok := n.Wake(); ok {
		w.schedule(later(t, w.now.Add(time.Millisecond)), n, member.Tick{})
	}
}

func (w *network) handle(n *node, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		w.transmit(n, a)
	case member.Changed:
		n.states[a.Info.ID] = a.State
		n.changes = append(n.changes, change{w.now, a.Info.ProcessIncarnation, a.State})
	case member.Superseded:
		n.superseded = a.Incarnation
	case member.RevisionSeen:
		if a.Revision > n.revision {
			n.revision, n.revisionAt = a.Revision, w.now
			w.schedule(w.now.Add(5*time.Millisecond), n, member.SetRevision{Revision: a.Revision, Token: a.Token})
		}
	}
}

func (w *network) transmit(n *node, a member.Send) {
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
	w.schedule(w.now.Add(d), to, member.Packet{From: n.self.Address, Message: g})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// run delivers the events of the next d. Events of a paused node wait until it resumes, and
// a Tick that is earlier than the current Wake is dropped.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.deliveries) > 0 && !w.deliveries[0].at.After(end) {
		x := heap.Pop(&w.deliveries).(delivery)
		w.now = x.at
		if x.to.pausedUntil.After(w.now) {
			w.schedule(x.to.pausedUntil, x.to, x.event)
			continue
		}
		if _, tick := x.event.(member.Tick); tick {
			if t, ok := x.to.Wake(); !ok || t.After(w.now) {
				continue
			}
		}
		w.step(x.to, x.event)
	}
	w.now = end
}

// viewsAgree reports whether the views of all running members of each data centre contain
// exactly the running members as live, and whether no message failed to encode or decode.
func (w *network) viewsAgree() bool {
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		for _, o := range w.nodes {
			if o == n || o.dataCentre != n.dataCentre {
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

// countVerdicts counts the changes to state s since t at all nodes.
func (w *network) countVerdicts(s member.State, t time.Time) int {
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

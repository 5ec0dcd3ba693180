// Package member decides which processes of the fleet are alive.
//
// Inside a data centre every process knows every other by a protocol of the SWIM kind
// (Das, Gupta and Motivala, 2002) with the local health multiplier and the suspicion
// timeout of Lifeguard (Dadgar, Phillips and Currey, 2018). Between data centres a few
// bridges exchange summaries; rendezvous hashing names them, so that nobody is elected.
package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The times of the protocol.
const (
	// ProbeInterval is the time between two probes of a healthy process.
	ProbeInterval = time.Second
	// ProbeTimeout is how long a probe waits before it asks helpers.
	ProbeTimeout = 300 * time.Millisecond
	// IndirectProbeTimeout is how long a helper waits before it sends a Nack.
	IndirectProbeTimeout = 400 * time.Millisecond
	// GossipInterval is the time between two rounds of gossip while there is news.
	GossipInterval = 200 * time.Millisecond
	// ExchangeInterval is how often a data centre hears from each other one.
	ExchangeInterval = 6 * time.Second
	// ReportInterval is the time between two load reports of an agent.
	ReportInterval = 10 * time.Second
	// ReconnectInterval is the time between two probes of dead members.
	ReconnectInterval = 10 * time.Second
	// PullInterval is the least time between two repairs of a differing view.
	PullInterval = 10 * time.Second
	// TombstoneRetention is how long a dead or left member is remembered.
	TombstoneRetention = time.Hour

	pullTimeout = time.Second
	lagLimit    = 500 * time.Millisecond
	settleTime  = 3 * time.Second
)

// The numbers of the protocol.
const (
	// IndirectProbeCount is the number of members asked to probe indirectly.
	IndirectProbeCount = 3
	// GossipFanout is the number of members that one round of gossip goes to.
	GossipFanout = 3
	// BridgeCount is the number of members that speak for a data centre.
	BridgeCount = 3
	// MaxTombstones is the number of dead and left members remembered.
	MaxTombstones = 1024
)

// A Machine is the membership of one process.
// It implements decide.Machine[Event, Action] and decide.Waker.
type Machine struct {
	// Random is the source of all random choices, set before the first event.
	Random *rand.Rand

	me       *record
	seeds    []netip.AddrPort
	leaving  bool
	members  map[fleet.ID]*record
	ids      []fleet.ID
	ring     []*record
	next     int
	tombs    []*record
	suspects []*record
	digest   uint64
	changed  time.Time
	newest   fleet.Incarnation

	health   int
	sequence uint64
	probe    probe
	relays   []relay

	rumors  []*record
	hot     int
	pending time.Time
	credit  float64
	charged time.Time

	pull     pull
	pullDue  time.Time
	pulled   time.Time
	began    time.Time
	quiet    bool
	welcomes int
	reclaim  time.Time
	loads    []Load
	report   time.Time
	exchange time.Time
	round    int
	push     time.Time
	remotes  map[site]*remote
	sites    []site

	revision table.Revision
	token    uint64

	now time.Time
	out []Action
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

// Step applies e at now, appends the actions that follow to out and returns it.
// Events before Start are ignored.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	s, first := e.(Start)
	if m.me == nil && !first {
		return out
	}
	m.now, m.out = now, out
	if first {
		m.start(s)
	} else {
		m.catchUp()
		m.apply(e)
	}
	m.work()
	out, m.out = m.out, nil
	return out
}

func (m *Machine) start(s Start) {
	m.me = &record{
		life:   s.Self.ProcessIncarnation,
		detail: &Metadata{Role: s.Self.Role, Place: s.Self.Place, Address: s.Self.Address},
	}
	m.seeds = slices.Clone(s.Seeds)
	m.sequence = m.Random.Uint64()
	m.remotes = map[site]*remote{}
	m.members = map[fleet.ID]*record{}
	m.credit, m.charged, m.pending = gossipBurst, m.now, m.now
	m.probe.end = m.now.Add(m.jitter(ProbeInterval))
	m.reclaim = m.now.Add(m.jitter(ReconnectInterval))
	m.exchange = m.now.Add(m.jitter(ProbeInterval))
	m.report = m.now.Add(m.jitter(ProbeInterval))
	m.forget()
}

// forget drops all members, and joins again.
func (m *Machine) forget() {
	m.members = map[fleet.ID]*record{m.me.life.ID: m.me}
	m.ids = []fleet.ID{m.me.life.ID}
	m.ring, m.tombs, m.suspects, m.rumors = nil, nil, nil, nil
	m.digest, m.me.term = 0, 0
	m.sum(m.me)
	m.spread(m.me)
	m.began = m.now
	m.join()
}

func (m *Machine) apply(e Event) {
	switch e := e.(type) {
	case Packet:
		m.receive(e.From, &e.Message)
	case Leave:
		m.leave()
	case SetOffers:
		m.setOffers(e.Offers)
	case SetLoads:
		m.loads = slices.Clone(e.Loads[:min(len(e.Loads), MaxOffers)])
	case SetRevision:
		m.setRevision(e)
	}
}

func (m *Machine) leave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.me.state = Left
	m.spread(m.me)
}

func (m *Machine) setOffers(os []Offer) {
	if m.leaving || slices.Equal(os, m.me.detail.Offers) {
		return
	}
	d := *m.me.detail
	d.Offers = slices.Clone(os[:min(len(os), MaxOffers)])
	for len(d.Offers) > 0 && detailSize(&d) > MaxMetadataSize {
		d.Offers = d.Offers[:len(d.Offers)-1]
	}
	m.me.detail = &d
	m.raise(m.me.version + 1)
}

// raise gives this process a newer version and spreads it.
func (m *Machine) raise(v uint32) {
	m.me.version, m.me.detailed = v, v
	m.sum(m.me)
	m.spread(m.me)
}

func (m *Machine) setRevision(e SetRevision) {
	if e.Revision == m.revision {
		m.token = max(m.token, e.Token)
	}
	if e.Revision <= m.revision {
		return
	}
	m.revision, m.token = e.Revision, e.Token
	m.hot = m.transmissions()
	m.pushRevision()
	m.push = m.now.Add(pushAgain)
}

// work does what is due.
func (m *Machine) work() {
	m.expireRelays()
	m.expireSuspects()
	m.runProbe()
	m.runPull()
	m.runReclaim()
	m.runReport()
	m.runExchange()
	m.runGossip()
}

// Wake returns when the machine wants its next Tick.
func (m *Machine) Wake() (time.Time, bool) {
	if m.me == nil {
		return time.Time{}, false
	}
	w := m.probe.due()
	for _, t := range []time.Time{m.reclaim, m.exchange, m.report, m.push, m.pull.deadline, m.gossipDue()} {
		w = earlier(w, t)
	}
	for _, r := range m.suspects {
		w = earlier(w, r.deadline)
	}
	for i := range m.relays {
		w = earlier(w, m.relays[i].deadline)
	}
	return w, true
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func (m *Machine) due(t time.Time) bool {
	return !t.IsZero() && !m.now.Before(t)
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.Random.Int64N(int64(d)) + 1)
}

func (m *Machine) send(to netip.AddrPort, g Message) {
	g.From = m.me.life
	g.Version = m.me.version
	g.Digest = m.digest
	g.Revision, g.Token = m.revision, m.token
	m.out = append(m.out, Send{To: to, Message: g})
}

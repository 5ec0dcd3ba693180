// Package member decides which processes of the fleet are alive.
//
// Inside a data centre every process knows every other one by a SWIM protocol (Das,
// Gupta and Motivala, 2002) with the local health multiplier and the suspicion timeout
// of Lifeguard (Dadgar, Phillips and Currey, 2018). Between data centres a few bridges
// exchange summaries. Rendezvous hashing selects them, so that no election is needed.
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

// Intervals and timeouts of the protocol.
const (
	// ProbeInterval is the time between two probes that a healthy process makes.
	ProbeInterval = time.Second
	// ProbeTimeout is how long a healthy process waits for an Ack before it requests indirect probes.
	ProbeTimeout = 300 * time.Millisecond
	// IndirectProbeTimeout is how long a helper waits for an Ack before it sends a Nack.
	IndirectProbeTimeout = 400 * time.Millisecond
	// GossipInterval is the time between two rounds of gossip while there are updates or a
	// revision to send.
	GossipInterval = 200 * time.Millisecond
	// ExchangeInterval is the mean time between two summaries that a data centre sends to each other one.
	ExchangeInterval = 6 * time.Second
	// ReportInterval is the time between two load reports of an agent.
	ReportInterval = 10 * time.Second
	// ReconnectInterval is the mean time between two probes of dead members.
	ReconnectInterval = 10 * time.Second
	// PullInterval is the longest delay before the view may be repaired again; the delay is
	// random and at least half of it.
	PullInterval = 10 * time.Second
	// TombstoneRetention is how long a dead or left member is remembered.
	TombstoneRetention = time.Hour

	// pullTimeout is how long a healthy process waits for a page.
	pullTimeout = time.Second
	// pauseThreshold is the delay of a step after its wake time from which on the process
	// counts as paused.
	pauseThreshold = 500 * time.Millisecond
	// viewSettleTime is how long the view must be unchanged before it counts as settled.
	viewSettleTime = 3 * time.Second
)

// Counts of the protocol.
const (
	// IndirectProbeCount is the number of helpers asked to probe a target indirectly.
	IndirectProbeCount = 3
	// GossipFanout is the number of members that one round of gossip goes to.
	GossipFanout = 3
	// BridgeCount is the number of members that exchange summaries on behalf of a data centre.
	BridgeCount = 3
	// MaxTombstones is the number of dead and left members that are remembered.
	MaxTombstones = 1024
)

// A Machine is the membership protocol of one process.
// It implements decide.Machine[Event, Action] and decide.Waker.
type Machine struct {
	// Random is the source of all random choices, set before the first event.
	Random *rand.Rand

	self    *record
	seeds   []netip.AddrPort
	leaving bool
	// members holds the records of all known members, of this process too.
	members map[fleet.ID]*record
	// ids are the keys of members, in ascending order.
	ids []fleet.ID
	// ring holds the live members besides this process in random order. They are probed
	// in this order; ringIndex is the next one to probe.
	ring      []*record
	ringIndex int
	// tombstones holds the dead and left members, the oldest first.
	tombstones []*record
	suspects   []*record
	// digest is the XOR of the digest terms of all records.
	digest        uint64
	viewChangedAt time.Time
	// supersededBy is the highest incarnation that was reported by Superseded.
	supersededBy fleet.Incarnation

	// healthScore is the local health multiplier of Lifeguard; 0 is healthy.
	healthScore int
	// sequence is the sequence number that this process gave to a probe last.
	sequence       uint64
	probe          probe
	indirectProbes []indirectProbe

	// gossipQueue holds the records whose update is still to be sent on.
	gossipQueue []*record
	// revisionTransmitsLeft is how many gossip messages still go out for the revision
	// even if there are no updates.
	revisionTransmitsLeft int
	nextGossip            time.Time
	// gossipCredit is how many bytes gossip may send; it is refilled at maxGossipRate.
	gossipCredit     float64
	creditRefilledAt time.Time

	pull pull
	// nextRepair is the earliest time of the next repair of the view.
	nextRepair time.Time
	// lastPull is when the last pull or join started.
	lastPull      time.Time
	joinStartedAt time.Time
	// mergingPage is set while the updates of a page are merged.
	mergingPage bool
	// introductions counts the pulls sent since the last reconnect in order to
	// introduce this process to members that do not know it.
	introductions    int
	nextReconnect    time.Time
	loads            []Load
	nextReport       time.Time
	nextExchange     time.Time
	exchangeRound    int
	revisionRepeatAt time.Time
	// remotes holds the other data centres; remoteKeys are its keys, in order of region
	// and data centre.
	remotes    map[dataCentreKey]*remoteDataCentre
	remoteKeys []dataCentreKey

	// revision is the table in force; token orders the confirmations of it by the store.
	revision table.Revision
	token    uint64

	now time.Time
	out []Action
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

// Step applies e at the time now, appends the resulting actions to out and returns it.
// Events before Start are ignored.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	s, first := e.(Start)
	if m.self == nil && !first {
		return out
	}
	m.now, m.out = now, out
	if first {
		m.start(s)
	} else {
		m.compensatePause()
		m.apply(e)
	}
	m.runTimers()
	out, m.out = m.out, nil
	return out
}

func (m *Machine) start(s Start) {
	m.self = &record{
		identity: s.Self.ProcessIncarnation,
		metadata: &Metadata{Role: s.Self.Role, Place: s.Self.Place, Address: s.Self.Address},
	}
	m.seeds = slices.Clone(s.Seeds)
	m.sequence = m.Random.Uint64()
	m.remotes = map[dataCentreKey]*remoteDataCentre{}
	m.members = map[fleet.ID]*record{}
	m.gossipCredit, m.creditRefilledAt, m.nextGossip = maxGossipBurst, m.now, m.now
	m.probe.endsAt = m.now.Add(m.jitter(ProbeInterval))
	m.nextReconnect = m.now.Add(m.jitter(ReconnectInterval))
	m.nextExchange = m.now.Add(m.jitter(ProbeInterval))
	m.nextReport = m.now.Add(m.jitter(ProbeInterval))
	m.resetView()
}

// resetView removes all members besides this process, and joins again.
func (m *Machine) resetView() {
	m.members = map[fleet.ID]*record{m.self.identity.ID: m.self}
	m.ids = []fleet.ID{m.self.identity.ID}
	m.ring, m.tombstones, m.suspects, m.gossipQueue = nil, nil, nil, nil
	m.digest, m.self.digestTerm = 0, 0
	m.updateDigest(m.self)
	m.queueGossip(m.self)
	m.joinStartedAt = m.now
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

// leave queues the update that this process has left.
func (m *Machine) leave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.self.state = Left
	m.queueGossip(m.self)
}

// setOffers announces the offers in os that fit into the metadata.
func (m *Machine) setOffers(os []Offer) {
	if m.leaving || slices.Equal(os, m.self.metadata.Offers) {
		return
	}
	d := *m.self.metadata
	d.Offers = slices.Clone(os[:min(len(os), MaxOffers)])
	for len(d.Offers) > 0 && metadataSize(&d) > MaxMetadataSize {
		d.Offers = d.Offers[:len(d.Offers)-1]
	}
	m.self.metadata = &d
	m.raiseVersion(m.self.version + 1)
}

// raiseVersion sets the version of this process to v and queues the update for gossip.
func (m *Machine) raiseVersion(v uint32) {
	m.self.version, m.self.metadataVersion = v, v
	m.updateDigest(m.self)
	m.queueGossip(m.self)
}

// setRevision stores a newer revision, which gossip then carries to this data centre and
// the bridges push to the other ones, or a newer token of the same revision.
func (m *Machine) setRevision(e SetRevision) {
	if e.Revision == m.revision {
		m.token = max(m.token, e.Token)
	}
	if e.Revision <= m.revision {
		return
	}
	m.revision, m.token = e.Revision, e.Token
	m.revisionTransmitsLeft = m.retransmitLimit()
	m.pushRevision()
	m.revisionRepeatAt = m.now.Add(revisionRepeatDelay)
}

// runTimers does all work that is due at the time of the step.
func (m *Machine) runTimers() {
	m.expireIndirectProbes()
	m.expireSuspects()
	m.runProbe()
	m.runPull()
	m.runReconnect()
	m.runReport()
	m.runExchange()
	m.runGossip()
}

// Wake returns when the next Tick is due, and false before Start.
func (m *Machine) Wake() (time.Time, bool) {
	if m.self == nil {
		return time.Time{}, false
	}
	w := m.probe.nextDue()
	for _, t := range []time.Time{m.nextReconnect, m.nextExchange, m.nextReport, m.revisionRepeatAt, m.pull.deadline, m.gossipDue()} {
		w = earlier(w, t)
	}
	for _, r := range m.suspects {
		w = earlier(w, r.suspicionDeadline)
	}
	for i := range m.indirectProbes {
		w = earlier(w, m.indirectProbes[i].deadline)
	}
	return w, true
}

// earlier returns the earlier of a and b, where a zero b counts as never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// isDue reports whether the time t is set and has come.
func (m *Machine) isDue(t time.Time) bool {
	return !t.IsZero() && !m.now.Before(t)
}

// jitter returns a random duration above 0 and up to d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.Random.Int64N(int64(d)) + 1)
}

// send sends g with the identity, version, digest and revision of this process.
func (m *Machine) send(to netip.AddrPort, g Message) {
	g.From = m.self.identity
	g.Version = m.self.version
	g.Digest = m.digest
	g.Revision, g.Token = m.revision, m.token
	m.out = append(m.out, Send{To: to, Message: g})
}

package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// maxSummaryContacts is the number of members that a summary of this data centre names.
	maxSummaryContacts = 15
	// maxRelayRecipients is the number of bridges and entries to which one summary is relayed.
	maxRelayRecipients = 16
	// revisionRepeatDelay is the time after which a new revision is pushed to the
	// other data centres a second time.
	revisionRepeatDelay = 500 * time.Millisecond
	// bridgeKey is the rendezvous hashing key that selects the bridges.
	bridgeKey = "bridge"
)

// A dataCentreKey identifies a data centre.
type dataCentreKey struct {
	region, dataCentre string
}

// A remoteDataCentre is what this process knows about another data centre.
type remoteDataCentre struct {
	summary Summary
	// receivedAt is when a summary with members last arrived; zero if only contacts are known.
	receivedAt time.Time
	// recentJoiners are the last members of that data centre that sent a Pull to
	// this process in order to join, the newest first.
	recentJoiners []Contact
}

// runExchange sends a summary of this data centre to the other ones when an exchange
// is due. The bridges divide the other data centres among themselves and rotate the
// division every round. It also repeats the push of a new revision.
func (m *Machine) runExchange() {
	if m.isDue(m.revisionRepeatAt) {
		m.revisionRepeatAt = time.Time{}
		m.pushRevision()
	}
	if !m.isDue(m.nextExchange) {
		return
	}
	m.nextExchange = m.now.Add(ExchangeInterval)
	m.exchangeRound++
	bridges := m.bridgeIDs()
	ownIndex := slices.Index(bridges, m.self.identity.ID)
	if ownIndex < 0 || m.leaving {
		return
	}
	for i, s := range m.remoteKeys {
		if (i+m.exchangeRound+ownIndex)%len(bridges) == 0 {
			m.sendExchange(m.contactAddress(s), s)
		}
	}
}

// bridgeIDs returns the members that exchange summaries on behalf of this data centre.
func (m *Machine) bridgeIDs() []fleet.ID {
	ids := make([]fleet.ID, 0, len(m.ring)+1)
	ids = append(ids, m.self.identity.ID)
	for _, r := range m.ring {
		ids = append(ids, r.identity.ID)
	}
	return rendezvousIDs(bridgeKey, ids, BridgeCount)
}

// contactAddress returns the address of a random contact in s, or an invalid address
// if none is known. In three of four cases it chooses among the bridges, which are
// the first contacts.
func (m *Machine) contactAddress(s dataCentreKey) netip.AddrPort {
	cs := m.remotes[s].summary.Contacts
	if len(cs) == 0 {
		return netip.AddrPort{}
	}
	n := len(cs)
	if m.Random.IntN(4) > 0 {
		n = min(n, BridgeCount)
	}
	return cs[m.Random.IntN(n)].Address
}

// sendExchange sends a summary of this data centre and the contacts of randomHint
// to the process at to in the data centre s.
func (m *Machine) sendExchange(to netip.AddrPort, s dataCentreKey) {
	if !to.IsValid() || m.leaving {
		return
	}
	g := Message{Type: Exchange}
	free := MaxMessageSize - m.messageSize(&g)
	h, ok := m.randomHint(s)
	if ok {
		free -= summarySize(&h)
	}
	g.Summaries = append(g.Summaries, m.summarize(s, free))
	if ok {
		g.Summaries = append(g.Summaries, h)
	}
	m.send(to, g)
}

// randomHint returns up to two contacts of s or of a random other data centre, each in
// half of the cases if s is known, and false if no other data centre is known.
func (m *Machine) randomHint(s dataCentreKey) (Summary, bool) {
	r := m.remotes[s]
	if r == nil || m.Random.IntN(2) > 0 {
		if len(m.remoteKeys) == 0 {
			return Summary{}, false
		}
		r = m.remotes[m.remoteKeys[m.Random.IntN(len(m.remoteKeys))]]
	}
	return r.hint(m.Random.IntN(len(r.summary.Contacts))), true
}

// hint returns the summary of r reduced to the contacts i and i+1, without kinds and members.
func (r *remoteDataCentre) hint(i int) Summary {
	h := r.summary
	h.Kinds, h.Members = nil, 0
	h.Contacts = h.Contacts[i:min(i+2, len(h.Contacts))]
	return h
}

// handleSummaries merges the summaries of other data centres. A summary of this
// process's own data centre serves to find members that it does not know.
func (m *Machine) handleSummaries(from netip.AddrPort, g *Message) {
	for i := range g.Summaries {
		s := &g.Summaries[i]
		if len(s.Contacts) == 0 {
			continue
		}
		if s.Region == m.self.metadata.Place.Region && s.DataCentre == m.self.metadata.Place.DataCentre {
			m.pullFromUnknownContact(s)
			continue
		}
		m.mergeSummary(from, g.Type, s)
	}
}

// pullFromUnknownContact starts a pull from the first contact in s that this process
// does not know, or knows only by an older incarnation.
func (m *Machine) pullFromUnknownContact(s *Summary) {
	for _, c := range s.Contacts {
		r := m.members[c.Identity.ID]
		if r == nil || r.identity.Incarnation < c.Identity.Incarnation {
			m.startPull(c.Address)
			return
		}
	}
}

// mergeSummary stores s and, if it came in an Exchange, relays it. It ignores s if a newer
// summary of the same source is known, or if s is not from a bridge and the known summary
// is fresh. A hint only replaces stale contacts. To a data centre that was unknown it sends
// an Exchange, and to a source that is not a known contact a hint.
func (m *Machine) mergeSummary(from netip.AddrPort, t Type, s *Summary) {
	k := dataCentreKey{s.Region, s.DataCentre}
	r := m.remotes[k]
	hint := s.Members == 0
	if r == nil {
		r = m.addRemote(k, s)
		m.sendExchange(s.Contacts[0].Address, k)
	}
	if hint {
		m.refreshStaleContacts(r, s)
		return
	}
	if t == Exchange && !r.hasContact(s.Source) {
		h := r.hint(m.Random.IntN(len(r.summary.Contacts)))
		m.send(from, Message{Type: Exchange, Summaries: []Summary{h}})
	}
	if r.summary.Source == s.Source && r.summary.Timestamp > s.Timestamp {
		return
	}
	if !s.fromBridge() && m.isFresh(r) {
		return
	}
	r.summary, r.receivedAt = *s, m.now
	m.out = append(m.out, SummaryChanged{Summary: *s})
	if t == Exchange {
		m.relaySummary(s)
	}
}

// hasContact reports whether id is a contact of r. A bridge that is not a contact may
// belong to a partition of its data centre that has not yet merged with the others.
func (r *remoteDataCentre) hasContact(id fleet.ID) bool {
	return slices.ContainsFunc(r.summary.Contacts, func(c Contact) bool { return c.Identity.ID == id })
}

// addRemote adds the data centre k with the summary s, which does not count as received.
func (m *Machine) addRemote(k dataCentreKey, s *Summary) *remoteDataCentre {
	r := &remoteDataCentre{summary: *s}
	m.remotes[k] = r
	m.remoteKeys = append(m.remoteKeys, k)
	slices.SortFunc(m.remoteKeys, func(a, b dataCentreKey) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	return r
}

// refreshStaleContacts replaces the contacts of r by those of the hint s unless r is fresh.
func (m *Machine) refreshStaleContacts(r *remoteDataCentre, s *Summary) {
	if !m.isFresh(r) {
		r.summary.Contacts = s.Contacts
	}
}

// isFresh reports whether a summary of r arrived within the last five exchange intervals.
func (m *Machine) isFresh(r *remoteDataCentre) bool {
	return m.now.Sub(r.receivedAt) <= 5*ExchangeInterval
}

// fromBridge reports whether the source of s is a bridge. Only bridges know the loads.
func (s *Summary) fromBridge() bool {
	bs := s.Contacts[:min(BridgeCount, len(s.Contacts))]
	return slices.ContainsFunc(bs, func(c Contact) bool { return c.Identity.ID == s.Source })
}

// relaySummary sends s to the live bridges and entries of this data centre.
func (m *Machine) relaySummary(s *Summary) {
	bs := m.bridgeIDs()
	n := 0
	for _, id := range m.ids {
		r := m.members[id]
		if r == m.self || !r.live() || r.metadata.Role != fleet.RoleEntry && !slices.Contains(bs, id) {
			continue
		}
		if n++; n > maxRelayRecipients {
			return
		}
		m.send(r.metadata.Address, Message{Type: Relay, Summaries: []Summary{*s}})
	}
}

// pushRevision sends the revision in force to two contacts of each other data centre
// if this process is a bridge. Every message carries the revision.
func (m *Machine) pushRevision() {
	if len(m.remoteKeys) == 0 || !slices.Contains(m.bridgeIDs(), m.self.identity.ID) {
		return
	}
	for _, s := range m.remoteKeys {
		for range 2 {
			m.send(m.contactAddress(s), Message{Type: Gossip})
		}
	}
}

// runReport sends the loads of this process to the bridges when a report is due.
func (m *Machine) runReport() {
	if !m.isDue(m.nextReport) {
		return
	}
	m.nextReport = m.now.Add(ReportInterval)
	m.self.loads = m.loads
	if len(m.loads) == 0 || m.leaving {
		return
	}
	for _, id := range m.bridgeIDs() {
		if r := m.members[id]; r != m.self {
			m.send(r.metadata.Address, Message{Type: Report, Loads: m.loads})
		}
	}
}

// handleReport stores the loads that a member reports.
func (m *Machine) handleReport(g *Message) {
	if r := m.members[g.From.ID]; r != nil && r.identity == g.From {
		r.loads = g.Loads
	}
}

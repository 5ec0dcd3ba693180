package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	maxContacts = 15
	// maxRelays is the number of entries that one summary is passed on to.
	maxRelays = 16
	pushAgain = 500 * time.Millisecond
	bridgeKey = "bridge"
)

// A site names a data centre.
type site struct {
	region, dataCentre string
}

// A remote is what this process knows of another data centre.
type remote struct {
	summary Summary
	seen    time.Time
	// joiners are the last members of that data centre that asked to join here.
	joiners []Contact
}

// runExchange tells the other data centres of this one; the bridges share them out.
func (m *Machine) runExchange() {
	if m.due(m.push) {
		m.push = time.Time{}
		m.pushRevision()
	}
	if !m.due(m.exchange) {
		return
	}
	m.exchange = m.now.Add(ExchangeInterval)
	m.round++
	bs := m.bridges()
	mine := slices.Index(bs, m.me.life.ID)
	if mine < 0 || m.leaving {
		return
	}
	for i, s := range m.sites {
		if (i+m.round+mine)%len(bs) == 0 {
			m.sendExchange(m.contact(s), s)
		}
	}
}

// bridges returns the members that speak for the data centre.
func (m *Machine) bridges() []fleet.ID {
	ids := make([]fleet.ID, 0, len(m.ring)+1)
	ids = append(ids, m.me.life.ID)
	for _, r := range m.ring {
		ids = append(ids, r.life.ID)
	}
	return highest(bridgeKey, ids, BridgeCount)
}

// contact returns an address in s, most often that of a bridge.
func (m *Machine) contact(s site) netip.AddrPort {
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

// sendExchange tells the process at to, in the data centre s, of this data centre and of one more.
func (m *Machine) sendExchange(to netip.AddrPort, s site) {
	if !to.IsValid() || m.leaving {
		return
	}
	g := Message{Type: Exchange}
	room := MaxMessageSize - m.size(&g)
	h, ok := m.hint(s)
	if ok {
		room -= summarySize(&h)
	}
	g.Summaries = append(g.Summaries, m.summarize(s, room))
	if ok {
		g.Summaries = append(g.Summaries, h)
	}
	m.send(to, g)
}

// hint returns two contacts of some data centre, at times those of s itself.
func (m *Machine) hint(s site) (Summary, bool) {
	r := m.remotes[s]
	if r == nil || m.Random.IntN(2) > 0 {
		if len(m.sites) == 0 {
			return Summary{}, false
		}
		r = m.remotes[m.sites[m.Random.IntN(len(m.sites))]]
	}
	return r.hint(m.Random.IntN(len(r.summary.Contacts))), true
}

// hint returns the summary of r with two of its contacts only.
func (r *remote) hint(i int) Summary {
	h := r.summary
	h.Kinds, h.Members = nil, 0
	h.Contacts = h.Contacts[i:min(i+2, len(h.Contacts))]
	return h
}

// takeSummaries learns of other data centres.
func (m *Machine) takeSummaries(from netip.AddrPort, g *Message) {
	for i := range g.Summaries {
		s := &g.Summaries[i]
		if len(s.Contacts) == 0 {
			continue
		}
		if s.Region == m.me.detail.Place.Region && s.DataCentre == m.me.detail.Place.DataCentre {
			m.meetContacts(s)
			continue
		}
		m.takeSummary(from, g.Type, s)
	}
}

// meetContacts introduces this process to members of its own data centre that it does not know.
func (m *Machine) meetContacts(s *Summary) {
	for _, c := range s.Contacts {
		r := m.members[c.Identity.ID]
		if r == nil || r.life.Incarnation < c.Identity.Incarnation {
			m.startPull(c.Address)
			return
		}
	}
}

func (m *Machine) takeSummary(from netip.AddrPort, t Type, s *Summary) {
	k := site{s.Region, s.DataCentre}
	r := m.remotes[k]
	hint := s.Members == 0
	if r == nil {
		r = m.addRemote(k, s)
		m.sendExchange(s.Contacts[0].Address, k)
	}
	if hint {
		m.refresh(r, s)
		return
	}
	if t == Exchange && !r.knows(s.Source) {
		h := r.hint(m.Random.IntN(len(r.summary.Contacts)))
		m.send(from, Message{Type: Exchange, Summaries: []Summary{h}})
	}
	if r.summary.Source == s.Source && r.summary.Timestamp > s.Timestamp {
		return
	}
	if !s.bridged() && m.fresh(r) {
		return
	}
	r.summary, r.seen = *s, m.now
	m.out = append(m.out, SummaryChanged{Summary: *s})
	if t == Exchange {
		m.relay(s)
	}
}

// knows reports whether id is a contact of r; a bridge that is none may belong
// to a part of its data centre that has not met the other parts.
func (r *remote) knows(id fleet.ID) bool {
	return slices.ContainsFunc(r.summary.Contacts, func(c Contact) bool { return c.Identity.ID == id })
}

func (m *Machine) addRemote(k site, s *Summary) *remote {
	r := &remote{summary: *s}
	m.remotes[k] = r
	m.sites = append(m.sites, k)
	slices.SortFunc(m.sites, func(a, b site) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	return r
}

// refresh takes the contacts of a hint where nothing was heard for long.
func (m *Machine) refresh(r *remote, s *Summary) {
	if !m.fresh(r) {
		r.summary.Contacts = s.Contacts
	}
}

func (m *Machine) fresh(r *remote) bool {
	return m.now.Sub(r.seen) <= 5*ExchangeInterval
}

// bridged reports whether a bridge made s; only bridges know the loads.
func (s *Summary) bridged() bool {
	bs := s.Contacts[:min(BridgeCount, len(s.Contacts))]
	return slices.ContainsFunc(bs, func(c Contact) bool { return c.Identity.ID == s.Source })
}

// relay passes a summary on to the bridges and the entries of this data centre.
func (m *Machine) relay(s *Summary) {
	bs := m.bridges()
	n := 0
	for _, id := range m.ids {
		r := m.members[id]
		if r == m.me || !r.live() || r.detail.Role != fleet.RoleEntry && !slices.Contains(bs, id) {
			continue
		}
		if n++; n > maxRelays {
			return
		}
		m.send(r.detail.Address, Message{Type: Relay, Summaries: []Summary{*s}})
	}
}

// pushRevision tells two members of each other data centre of a new revision.
func (m *Machine) pushRevision() {
	if len(m.sites) == 0 || !slices.Contains(m.bridges(), m.me.life.ID) {
		return
	}
	for _, s := range m.sites {
		for range 2 {
			m.send(m.contact(s), Message{Type: Gossip})
		}
	}
}

// runReport sends this process's loads to the bridges.
func (m *Machine) runReport() {
	if !m.due(m.report) {
		return
	}
	m.report = m.now.Add(ReportInterval)
	m.me.loads = m.loads
	if len(m.loads) == 0 || m.leaving {
		return
	}
	for _, id := range m.bridges() {
		if r := m.members[id]; r != m.me {
			m.send(r.detail.Address, Message{Type: Report, Loads: m.loads})
		}
	}
}

func (m *Machine) takeLoads(g *Message) {
	if r := m.members[g.From.ID]; r != nil && r.life == g.From {
		r.loads = g.Loads
	}
}

package member

import (
	"net/netip"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxRecentJoiners is the number of joiners that are remembered for each other data centre.
const maxRecentJoiners = 2

// handleRemoteJoin answers a process of another data centre that joins. The answer contains
// the summary of this data centre, and the contacts in the other one that are known here,
// the recent joiners among them.
func (m *Machine) handleRemoteJoin(from netip.AddrPort, u *Update) {
	s := dataCentreKey{u.Metadata.Place.Region, u.Metadata.Place.DataCentre}
	c := Contact{Identity: u.Identity, Role: u.Metadata.Role, Address: u.Metadata.Address}
	h := Summary{Region: s.region, DataCentre: s.dataCentre, Source: m.self.identity.ID, Contacts: []Contact{c}}
	r := m.remotes[s]
	if r == nil {
		r = m.addRemote(s, &h)
	}
	h.Contacts = slices.Concat(r.recentJoiners, r.hint(m.Random.IntN(len(r.summary.Contacts))).Contacts)
	g := Message{Type: Exchange}
	g.Summaries = []Summary{m.summarize(s, MaxMessageSize-m.messageSize(&g)-summarySize(&h)), h}
	m.send(from, g)
	r.addJoiner(c)
}

// addJoiner adds c as the newest joiner.
func (r *remoteDataCentre) addJoiner(c Contact) {
	js := []Contact{c}
	for _, j := range r.recentJoiners {
		if j.Identity.ID != c.Identity.ID && len(js) < maxRecentJoiners {
			js = append(js, j)
		}
	}
	r.recentJoiners = js
}

// sendSummariesToEntry sends the summaries of the other data centres to r if it is an entry
// and this process is the first bridge. It is called for each member that becomes live.
func (m *Machine) sendSummariesToEntry(r *record) {
	if r.metadata.Role != fleet.RoleEntry || len(m.remoteKeys) == 0 || m.bridgeIDs()[0] != m.self.identity.ID {
		return
	}
	for _, s := range m.remoteKeys {
		if x := m.remotes[s]; x.summary.Members > 0 {
			m.send(r.metadata.Address, Message{Type: Relay, Summaries: []Summary{x.summary}})
		}
	}
}

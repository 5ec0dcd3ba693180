package member

import (
	"net/netip"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const maxJoiners = 2

// welcome answers a process of another data centre that wants to join: with the summary
// of this data centre, and with the members of its own that are known here.
func (m *Machine) welcome(from netip.AddrPort, u *Update) {
	s := site{u.Metadata.Place.Region, u.Metadata.Place.DataCentre}
	c := Contact{Identity: u.Identity, Role: u.Metadata.Role, Address: u.Metadata.Address}
	h := Summary{Region: s.region, DataCentre: s.dataCentre, Source: m.me.life.ID, Contacts: []Contact{c}}
	r := m.remotes[s]
	if r == nil {
		r = m.addRemote(s, &h)
	}
	h.Contacts = slices.Concat(r.joiners, r.hint(m.Random.IntN(len(r.summary.Contacts))).Contacts)
	g := Message{Type: Exchange}
	g.Summaries = []Summary{m.summarize(s, MaxMessageSize-m.size(&g)-summarySize(&h)), h}
	m.send(from, g)
	r.join(c)
}

// join remembers c as the newest joiner.
func (r *remote) join(c Contact) {
	js := []Contact{c}
	for _, j := range r.joiners {
		if j.Identity.ID != c.Identity.ID && len(js) < maxJoiners {
			js = append(js, j)
		}
	}
	r.joiners = js
}

// greet tells a new entry of all data centres; the first bridge does so.
func (m *Machine) greet(r *record) {
	if r.detail.Role != fleet.RoleEntry || len(m.sites) == 0 || m.bridges()[0] != m.me.life.ID {
		return
	}
	for _, s := range m.sites {
		if x := m.remotes[s]; x.summary.Members > 0 {
			m.send(r.detail.Address, Message{Type: Relay, Summaries: []Summary{x.summary}})
		}
	}
}

package member

import (
	"cmp"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// summarize returns the summary of this data centre for the data centre s, in at most free bytes.
func (m *Machine) summarize(s dataCentreKey, free int) Summary {
	p := m.self.metadata.Place
	out := Summary{
		Region:     p.Region,
		DataCentre: p.DataCentre,
		Source:     m.self.identity.ID,
		Timestamp:  m.now.UnixNano(),
		Members:    uint32(len(m.ring) + 1),
	}
	free -= summarySize(&out)
	for _, k := range m.kindSummaries(free / 2) {
		free -= kindSize(&k)
		out.Kinds = append(out.Kinds, k)
	}
	for _, r := range m.selectContacts(s) {
		c := newContact(r, out.Kinds)
		if free -= contactSize(&c); free < 0 {
			break
		}
		out.Contacts = append(out.Contacts, c)
	}
	return out
}

// kindSummaries returns the total offers and loads of the data centre for each kind, in at
// most free bytes. The kinds with the largest capacity are first.
func (m *Machine) kindSummaries(free int) []KindSummary {
	sums := map[fleet.Kind]*KindSummary{}
	var out []KindSummary
	add := func(r *record) {
		for _, o := range r.metadata.Offers {
			k := sums[o.Kind]
			if k == nil {
				k = &KindSummary{Kind: o.Kind}
				sums[o.Kind] = k
			}
			k.Agents++
			k.Capacity += uint64(o.Limit)
			k.Used += uint64(usedCapacity(r.loads, o.Kind))
		}
	}
	add(m.self)
	for _, r := range m.ring {
		add(r)
	}
	for _, k := range sums {
		out = append(out, *k)
	}
	slices.SortFunc(out, func(a, b KindSummary) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Kind, b.Kind))
	})
	return fitKinds(out, free)
}

// fitKinds returns the first kinds of ks that fit into free bytes, at most MaxSummaryKinds.
func fitKinds(ks []KindSummary, free int) []KindSummary {
	ks = ks[:min(len(ks), MaxSummaryKinds)]
	for i := range ks {
		if free -= kindSize(&ks[i]); free < 0 {
			return ks[:i]
		}
	}
	return ks
}

// usedCapacity returns the load of kind k in ls, 0 if there is none.
func usedCapacity(ls []Load, k fleet.Kind) uint32 {
	for _, l := range ls {
		if l.Kind == k {
			return l.Used
		}
	}
	return 0
}

// selectContacts returns the members that s may address: the bridges, up to two entries,
// and agents. Entries and agents are selected by a hash of s, so that they differ from one
// data centre to the next.
func (m *Machine) selectContacts(s dataCentreKey) []*record {
	bs := m.bridgeIDs()
	var agents, entries []fleet.ID
	for _, id := range m.ids {
		switch r := m.members[id]; {
		case !r.live() || slices.Contains(bs, id):
		case r.metadata.Role == fleet.RoleEntry:
			entries = append(entries, id)
		default:
			agents = append(agents, id)
		}
	}
	key := s.region + "/" + s.dataCentre
	ids := slices.Concat(bs, rendezvousIDs(key, entries, 2))
	ids = append(ids, rendezvousIDs(key, agents, max(0, maxSummaryContacts-len(ids)))...)
	out := make([]*record, 0, len(ids))
	for _, id := range ids {
		out = append(out, m.members[id])
	}
	return out
}

// newContact returns r as a contact of a summary with the kinds ks.
func newContact(r *record, ks []KindSummary) Contact {
	c := Contact{Identity: r.identity, Role: r.metadata.Role, Address: r.metadata.Address}
	for i := range ks {
		if slices.ContainsFunc(r.metadata.Offers, func(o Offer) bool { return o.Kind == ks[i].Kind }) {
			c.KindMask |= 1 << i
		}
	}
	return c
}

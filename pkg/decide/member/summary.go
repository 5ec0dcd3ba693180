package member

import (
	"cmp"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// summarize returns what this data centre tells the data centre s, in at most room bytes.
func (m *Machine) summarize(s site, room int) Summary {
	p := m.me.detail.Place
	out := Summary{
		Region:     p.Region,
		DataCentre: p.DataCentre,
		Source:     m.me.life.ID,
		Timestamp:  m.now.UnixNano(),
		Members:    uint32(len(m.ring) + 1),
	}
	room -= summarySize(&out)
	for _, k := range m.kinds(room / 2) {
		room -= kindSize(&k)
		out.Kinds = append(out.Kinds, k)
	}
	for _, r := range m.chosen(s) {
		c := contactOf(r, out.Kinds)
		if room -= contactSize(&c); room < 0 {
			break
		}
		out.Contacts = append(out.Contacts, c)
	}
	return out
}

// kinds sums up the offers and loads of the data centre, the largest kinds first, in at most room bytes.
func (m *Machine) kinds(room int) []KindSummary {
	sums := map[fleet.Kind]*KindSummary{}
	var out []KindSummary
	add := func(r *record) {
		for _, o := range r.detail.Offers {
			k := sums[o.Kind]
			if k == nil {
				k = &KindSummary{Kind: o.Kind}
				sums[o.Kind] = k
			}
			k.Agents++
			k.Capacity += uint64(o.Limit)
			k.Used += uint64(used(r.loads, o.Kind))
		}
	}
	add(m.me)
	for _, r := range m.ring {
		add(r)
	}
	for _, k := range sums {
		out = append(out, *k)
	}
	slices.SortFunc(out, func(a, b KindSummary) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Kind, b.Kind))
	})
	return fit(out, room)
}

// fit cuts off the kinds that do not fit into room.
func fit(ks []KindSummary, room int) []KindSummary {
	ks = ks[:min(len(ks), MaxSummaryKinds)]
	for i := range ks {
		if room -= kindSize(&ks[i]); room < 0 {
			return ks[:i]
		}
	}
	return ks
}

func used(ls []Load, k fleet.Kind) uint32 {
	for _, l := range ls {
		if l.Kind == k {
			return l.Used
		}
	}
	return 0
}

// chosen returns the members that s may address: the bridges, an entry,
// and agents that differ from one data centre to the next.
func (m *Machine) chosen(s site) []*record {
	bs := m.bridges()
	var agents, entries []fleet.ID
	for _, id := range m.ids {
		switch r := m.members[id]; {
		case !r.live() || slices.Contains(bs, id):
		case r.detail.Role == fleet.RoleEntry:
			entries = append(entries, id)
		default:
			agents = append(agents, id)
		}
	}
	key := s.region + "/" + s.dataCentre
	ids := slices.Concat(bs, highest(key, entries, 2))
	ids = append(ids, highest(key, agents, max(0, maxContacts-len(ids)))...)
	out := make([]*record, 0, len(ids))
	for _, id := range ids {
		out = append(out, m.members[id])
	}
	return out
}

func contactOf(r *record, ks []KindSummary) Contact {
	c := Contact{Identity: r.life, Role: r.detail.Role, Address: r.detail.Address}
	for i := range ks {
		if slices.ContainsFunc(r.detail.Offers, func(o Offer) bool { return o.Kind == ks[i].Kind }) {
			c.KindMask |= 1 << i
		}
	}
	return c
}

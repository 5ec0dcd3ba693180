package gossip

import (
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Agent is an agent that serves some kind.
type Agent struct {
	fleet.Member
	// Limit is how many it takes at once, 0 where it stands in another data centre.
	Limit uint32
	// Suspect is set while it is not known whether the agent lives.
	Suspect bool
}

// A view is what queries read; it is never changed once published.
type view struct {
	members []member.Info
	remotes []member.Remote
	known   []fleet.Member
	agents  map[fleet.Kind][]Agent
}

// publish replaces the view.
func (p *process) publish() {
	m := &p.machine
	v := &view{members: m.Members(), remotes: m.Remotes(), agents: map[fleet.Kind][]Agent{}}
	v.known = append(v.known, m.Self().Member)
	v.addLocal(m)
	for _, r := range v.remotes {
		v.addRemote(&r.Summary)
	}
	p.gossip.view.Store(v)
}

func (v *view) addLocal(m *member.Machine) {
	for _, i := range append(v.members[:len(v.members):len(v.members)], m.Self()) {
		if i.ID != m.Self().ID {
			v.known = append(v.known, i.Member)
		}
		s, _, _ := m.State(i.ID)
		for _, o := range i.Offers {
			a := Agent{Member: i.Member, Limit: o.Limit, Suspect: s == member.Suspect}
			v.agents[o.Kind] = append(v.agents[o.Kind], a)
		}
	}
}

func (v *view) addRemote(s *member.Summary) {
	for _, c := range s.Contacts {
		f := fleet.Member{
			ProcessIncarnation: c.Life,
			Role:               c.Role,
			Place:              fleet.Place{Region: s.Region, DataCentre: s.DataCentre},
			Address:            c.Address,
		}
		v.known = append(v.known, f)
		for i, k := range s.Kinds {
			if c.Kinds&(1<<i) != 0 {
				v.agents[k.Kind] = append(v.agents[k.Kind], Agent{Member: f})
			}
		}
	}
}

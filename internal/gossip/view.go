package gossip

import (
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Agent is an agent that serves a kind.
type Agent struct {
	fleet.Member
	// Limit is the number of requests it takes at once; 0 for an agent in another data centre.
	Limit uint32
	// Suspect is set while the agent is suspected to have failed.
	Suspect bool
}

// A view is an immutable snapshot of the membership, which queries read.
type view struct {
	members []member.Info
	remotes []member.RemoteDataCentre
	known   []fleet.Member
	agents  map[fleet.Kind][]Agent
}

// publishView replaces the view by the current state of the machine.
func (p *memberActor) publishView() {
	m := &p.machine
	v := &view{members: m.Members(), remotes: m.RemoteDataCentres(), agents: map[fleet.Kind][]Agent{}}
	v.known = append(v.known, m.Self().Member)
	v.addLocal(m)
	for _, r := range v.remotes {
		v.addRemote(&r.Summary)
	}
	p.gossip.view.Store(v)
}

// addLocal adds the members and agents of this data centre.
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

// addRemote adds the sampled members and agents of another data centre.
func (v *view) addRemote(s *member.Summary) {
	for _, c := range s.Contacts {
		f := fleet.Member{
			ProcessIncarnation: c.Identity,
			Role:               c.Role,
			Place:              fleet.Place{Region: s.Region, DataCentre: s.DataCentre},
			Address:            c.Address,
		}
		v.known = append(v.known, f)
		for i, k := range s.Kinds {
			if c.KindMask&(1<<i) != 0 {
				v.agents[k.Kind] = append(v.agents[k.Kind], Agent{Member: f})
			}
		}
	}
}

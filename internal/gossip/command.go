package gossip

import (
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// SetOffers announces the kinds that this process serves, at most member.MaxOffers.
// Like the other commands it reports false where Run does not run.
func (g *Gossip) SetOffers(os []member.Offer) bool {
	return g.send(member.SetOffers{Offers: os})
}

// SetLoads sets the loads that the bridges of the data centre are told.
func (g *Gossip) SetLoads(ls []member.Load) bool {
	return g.send(member.SetLoads{Loads: ls})
}

// SetRevision announces the table in force here and its newest confirmation.
func (g *Gossip) SetRevision(r table.Revision, token uint64) bool {
	return g.send(member.SetRevision{Revision: r, Token: token})
}

// AnnounceLeave announces that this process stops. Run goes on to spread it until its context ends,
// which should be a few seconds later.
func (g *Gossip) AnnounceLeave() bool {
	return g.send(member.Leave{})
}

func (g *Gossip) send(e member.Event) bool {
	m := g.mailbox.Load()
	if m == nil {
		return false
	}
	m.send(e)
	return true
}

// deliver lets commands go to m.
func (g *Gossip) deliver(m *mailbox) {
	g.mailbox.Store(m)
}

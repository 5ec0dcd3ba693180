package gossip

import (
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// SetOffers announces the kinds that this process serves, at most member.MaxOffers.
// Like the other commands it has no effect and reports false while Run isn't running.
func (g *Gossip) SetOffers(os []member.Offer) bool {
	return g.send(member.SetOffers{Offers: os})
}

// SetLoads sets the loads that are reported to the bridges of the data centre.
func (g *Gossip) SetLoads(ls []member.Load) bool {
	return g.send(member.SetLoads{Loads: ls})
}

// SetRevision announces the revision of the table in force here and the token of its newest
// confirmation.
func (g *Gossip) SetRevision(r table.Revision, token uint64) bool {
	return g.send(member.SetRevision{Revision: r, Token: token})
}

// AnnounceLeave announces that this process stops. Run spreads the announcement until its
// context ends, which should be a few seconds later.
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

// setMailbox makes m the destination of commands.
func (g *Gossip) setMailbox(m *mailbox) {
	g.mailbox.Store(m)
}

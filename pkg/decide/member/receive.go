package member

import "net/netip"

// receive handles one message.
func (m *Machine) receive(from netip.AddrPort, g *Message) {
	if g.From.ID == m.me.life.ID {
		m.meetSelf(g)
		return
	}
	m.notice(from, g)
	switch g.Type {
	case Ping:
		m.mergeAll(g.Updates)
		m.answer(from, g)
		m.compareViews(from, g)
	case Ack:
		m.mergeAll(g.Updates)
		m.acked(g)
		m.compareViews(from, g)
	case Nack:
		m.nacked(g)
	case PingRequest:
		m.help(from, g)
	case Gossip:
		m.mergeAll(g.Updates)
	case Pull:
		m.servePull(from, g)
	case Page:
		m.takePage(from, g)
	case Exchange, Relay:
		m.takeSummaries(from, g)
	case Report:
		m.takeLoads(g)
	}
}

// meetSelf handles a message of another life with the same ID.
func (m *Machine) meetSelf(g *Message) {
	if g.From.Incarnation > m.me.life.Incarnation {
		m.supersede(g.From.Incarnation)
	}
}

// notice takes the table revision of the sender.
func (m *Machine) notice(from netip.AddrPort, g *Message) {
	newer := g.Revision > m.revision || g.Revision == m.revision && g.Token > m.token
	if newer {
		m.out = append(m.out, RevisionSeen{Revision: g.Revision, From: from, Token: g.Token})
	}
}

// compareViews repairs a difference with a member of the own data centre,
// and introduces this process to a sender that it does not know.
func (m *Machine) compareViews(from netip.AddrPort, g *Message) {
	r := m.members[g.From.ID]
	if r == nil || r.life.Incarnation < g.From.Incarnation || r.life == g.From && r.version < g.Version {
		if m.welcomes < maxWelcomes {
			m.welcomes++
			m.askMembers(from, "")
		}
		return
	}
	if r.live() {
		m.repair(from, g)
	}
}

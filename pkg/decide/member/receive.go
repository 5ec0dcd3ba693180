package member

import "net/netip"

// receive handles one message.
func (m *Machine) receive(from netip.AddrPort, g *Message) {
	if g.From.ID == m.self.identity.ID {
		m.handleOwnID(g)
		return
	}
	m.checkRevision(from, g)
	switch g.Type {
	case Ping:
		m.mergeAll(g.Updates)
		m.handlePing(from, g)
		m.compareViews(from, g)
	case Ack:
		m.mergeAll(g.Updates)
		m.handleAck(g)
		m.compareViews(from, g)
	case Nack:
		m.handleNack(g)
	case PingRequest:
		m.handlePingRequest(from, g)
	case Gossip:
		m.mergeAll(g.Updates)
	case Pull:
		m.handlePull(from, g)
	case Page:
		m.handlePage(from, g)
	case Exchange, Relay:
		m.handleSummaries(from, g)
	case Report:
		m.handleReport(g)
	}
}

// handleOwnID handles a message of another incarnation of this process's ID.
func (m *Machine) handleOwnID(g *Message) {
	if g.From.Incarnation > m.self.identity.Incarnation {
		m.reportSuperseded(g.From.Incarnation)
	}
}

// checkRevision reports the table revision of the sender if it is newer, or confirmed later,
// than the one of this process.
func (m *Machine) checkRevision(from netip.AddrPort, g *Message) {
	newer := g.Revision > m.revision || g.Revision == m.revision && g.Token > m.token
	if newer {
		m.out = append(m.out, RevisionSeen{Revision: g.Revision, From: from, Token: g.Token})
	}
}

// compareViews repairs the view if it differs from that of the sender. A sender that is
// unknown, or known by an older incarnation or version only, is sent a Pull instead, which
// introduces this process to it.
func (m *Machine) compareViews(from netip.AddrPort, g *Message) {
	r := m.members[g.From.ID]
	if r == nil || r.identity.Incarnation < g.From.Incarnation || r.identity == g.From && r.version < g.Version {
		if m.introductions < maxIntroductions {
			m.introductions++
			m.requestPage(from, "")
		}
		return
	}
	if r.live() {
		m.repairView(from, g)
	}
}

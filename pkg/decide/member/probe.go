package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxIndirectProbes is the number of probes in progress at once that were requested by other members.
const maxIndirectProbes = 64

// A probe is the probe of the current interval; its target is nil once it is answered.
type probe struct {
	target   *record
	sequence uint64
	// indirectAt is when indirect probes are due; zero once they were requested.
	indirectAt time.Time
	endsAt     time.Time
	// missingNacks is the number of helpers asked less the Nacks received.
	missingNacks int
}

// nextDue returns when p needs a Tick.
func (p *probe) nextDue() time.Time {
	return earlier(p.endsAt, p.indirectAt)
}

// An indirectProbe is a probe that this process makes on request of another member.
type indirectProbe struct {
	sequence  uint64
	target    fleet.ID
	requester netip.AddrPort
	// requestSequence is the sequence number of the PingRequest.
	requestSequence uint64
	deadline        time.Time
}

// runProbe requests indirect probes when the target has not answered in time, and starts
// the next probe when the interval ends.
func (m *Machine) runProbe() {
	if m.isDue(m.probe.indirectAt) {
		m.requestIndirectProbes()
	}
	if !m.isDue(m.probe.endsAt) {
		return
	}
	m.endProbe()
	m.startProbe(m.nextProbeTarget())
}

// endProbe suspects the target of the current probe if it has not answered. Helpers that
// sent no Nack count against the health of this process, as in Lifeguard.
func (m *Machine) endProbe() {
	r := m.probe.target
	if r == nil || !r.live() {
		return
	}
	m.raiseHealthScore(max(1, m.probe.missingNacks))
	m.suspect(r)
}

// nextProbeTarget returns the next member of the ring, which it shuffles after each round.
// It returns nil if the ring is empty.
func (m *Machine) nextProbeTarget() *record {
	if len(m.ring) == 0 {
		return nil
	}
	if m.ringIndex >= len(m.ring) {
		m.ringIndex = 0
		m.Random.Shuffle(len(m.ring), func(i, j int) {
			m.ring[i], m.ring[j] = m.ring[j], m.ring[i]
		})
	}
	m.ringIndex++
	return m.ring[m.ringIndex-1]
}

// startProbe starts a probe of r, or an interval without one if r is nil.
func (m *Machine) startProbe(r *record) {
	m.sequence++
	m.probe = probe{target: r, sequence: m.sequence, endsAt: m.now.Add(m.scaleByHealth(ProbeInterval))}
	if r == nil {
		return
	}
	m.probe.indirectAt = m.now.Add(m.scaleByHealth(ProbeTimeout))
	m.ping(r, m.sequence)
}

// ping sends a Ping to r. If r is not alive in the view, the first update says so, so
// that r can refute it.
func (m *Machine) ping(r *record, sequence uint64) {
	g := Message{Type: Ping, Sequence: sequence}
	if r.state != Alive {
		g.Updates = append(g.Updates, r.toUpdate())
	}
	m.addUpdates(&g)
	m.send(r.metadata.Address, g)
}

// requestIndirectProbes pings the target again, directly and through helpers.
func (m *Machine) requestIndirectProbes() {
	p := &m.probe
	p.indirectAt = time.Time{}
	if p.target == nil || !p.target.live() {
		return
	}
	m.ping(p.target, p.sequence)
	for _, h := range m.randomMembers(IndirectProbeCount, p.target) {
		p.missingNacks++
		g := Message{Type: PingRequest, Sequence: p.sequence, Target: p.target.identity.ID, Address: p.target.metadata.Address}
		m.send(h.metadata.Address, g)
	}
}

// randomMembers returns up to n random live members besides this process and r.
func (m *Machine) randomMembers(n int, r *record) []*record {
	out := make([]*record, 0, n)
	if len(m.ring) <= n+1 {
		out = append(out, m.ring...)
		out = removeRecord(out, r)
		return out[:min(n, len(out))]
	}
	for len(out) < n {
		c := m.ring[m.Random.IntN(len(m.ring))]
		if c != r && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// handlePing answers a Ping. The Ack contains the update on the sender if the view
// contradicts it.
func (m *Machine) handlePing(from netip.AddrPort, g *Message) {
	a := Message{Type: Ack, Sequence: g.Sequence}
	if r := m.members[g.From.ID]; r != nil && r.contradicts(g) {
		a.Updates = append(a.Updates, r.toUpdate())
	}
	m.addUpdates(&a)
	m.send(from, a)
}

// contradicts reports whether r has a newer incarnation of the sender of g, or a state
// besides Alive that the sender's version does not refute.
func (r *record) contradicts(g *Message) bool {
	if r.identity.Incarnation != g.From.Incarnation {
		return r.identity.Incarnation > g.From.Incarnation
	}
	return r.state != Alive && r.version >= g.Version
}

// handlePingRequest pings a member on request of another one.
func (m *Machine) handlePingRequest(from netip.AddrPort, g *Message) {
	if len(m.indirectProbes) >= maxIndirectProbes {
		return
	}
	m.sequence++
	m.indirectProbes = append(m.indirectProbes, indirectProbe{
		sequence:        m.sequence,
		target:          g.Target,
		requester:       from,
		requestSequence: g.Sequence,
		deadline:        m.now.Add(IndirectProbeTimeout),
	})
	m.send(g.Address, Message{Type: Ping, Sequence: m.sequence})
}

// handleAck ends the probe or the indirect probe that g answers.
func (m *Machine) handleAck(g *Message) {
	p := &m.probe
	if p.target != nil && g.Sequence == p.sequence {
		if id := p.target.identity.ID; g.From.ID == id || g.Target == id {
			p.target, p.indirectAt = nil, time.Time{}
			m.lowerHealthScore()
		}
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool {
		if r.sequence != g.Sequence || r.target != g.From.ID {
			return false
		}
		m.send(r.requester, Message{Type: Ack, Sequence: r.requestSequence, Target: r.target})
		return true
	})
}

// handleNack notes that a helper answered without reaching the target.
func (m *Machine) handleNack(g *Message) {
	if g.Sequence == m.probe.sequence && m.probe.missingNacks > 0 {
		m.probe.missingNacks--
	}
}

// expireIndirectProbes ends the indirect probes that got no answer in time, and sends a
// Nack to their requesters.
func (m *Machine) expireIndirectProbes() {
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool {
		if !m.isDue(r.deadline) {
			return false
		}
		m.send(r.requester, Message{Type: Nack, Sequence: r.requestSequence, Target: r.target})
		return true
	})
}

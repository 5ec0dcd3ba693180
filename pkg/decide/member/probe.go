package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxHelped is the number of probes made for others at once.
const maxHelped = 64

// A probe is the one member that is being asked in the current period.
type probe struct {
	target   *record
	sequence uint64
	// asked is when the helpers are due, zero once they were asked.
	asked  time.Time
	end    time.Time
	missed int
}

func (p *probe) due() time.Time {
	return earlier(p.end, p.asked)
}

// A relay is a probe that this process makes for another one.
type relay struct {
	sequence uint64
	target   fleet.ID
	origin   netip.AddrPort
	answers  uint64
	deadline time.Time
}

// runProbe asks the helpers when the target is late, and ends the period.
func (m *Machine) runProbe() {
	if m.due(m.probe.asked) {
		m.askHelpers()
	}
	if !m.due(m.probe.end) {
		return
	}
	m.judge()
	m.ask(m.nextTarget())
}

// judge ends the current probe.
func (m *Machine) judge() {
	r := m.probe.target
	if r == nil || !r.live() {
		return
	}
	m.worsen(max(1, m.probe.missed))
	m.accuse(r)
}

// nextTarget walks the ring and shuffles it after each round.
func (m *Machine) nextTarget() *record {
	if len(m.ring) == 0 {
		return nil
	}
	if m.next >= len(m.ring) {
		m.next = 0
		m.Random.Shuffle(len(m.ring), func(i, j int) {
			m.ring[i], m.ring[j] = m.ring[j], m.ring[i]
		})
	}
	m.next++
	return m.ring[m.next-1]
}

// ask starts a probe of r.
func (m *Machine) ask(r *record) {
	m.sequence++
	m.probe = probe{target: r, sequence: m.sequence, end: m.now.Add(m.scaled(ProbeInterval))}
	if r == nil {
		return
	}
	m.probe.asked = m.now.Add(m.scaled(ProbeTimeout))
	m.ping(r, m.sequence)
}

// ping sends a Ping that tells r first what is said of r.
func (m *Machine) ping(r *record, sequence uint64) {
	g := Message{Type: Ping, Sequence: sequence}
	if r.state != Alive {
		g.Updates = append(g.Updates, r.update())
	}
	m.fill(&g)
	m.send(r.detail.Address, g)
}

// askHelpers pings the target again, directly and through others.
func (m *Machine) askHelpers() {
	p := &m.probe
	p.asked = time.Time{}
	if p.target == nil || !p.target.live() {
		return
	}
	m.ping(p.target, p.sequence)
	for _, h := range m.pick(IndirectProbeCount, p.target) {
		p.missed++
		g := Message{Type: PingRequest, Sequence: p.sequence, Target: p.target.life.ID, Address: p.target.detail.Address}
		m.send(h.detail.Address, g)
	}
}

// pick returns up to n random live members besides r.
func (m *Machine) pick(n int, r *record) []*record {
	out := make([]*record, 0, n)
	if len(m.ring) <= n+1 {
		out = append(out, m.ring...)
		out = without(out, r)
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

// answer replies to a Ping.
func (m *Machine) answer(from netip.AddrPort, g *Message) {
	a := Message{Type: Ack, Sequence: g.Sequence}
	if r := m.members[g.From.ID]; r != nil && r.doubts(g) {
		a.Updates = append(a.Updates, r.update())
	}
	m.fill(&a)
	m.send(from, a)
}

// doubts reports whether r holds something against the sender of g that the sender should know.
func (r *record) doubts(g *Message) bool {
	if r.life.Incarnation != g.From.Incarnation {
		return r.life.Incarnation > g.From.Incarnation
	}
	return r.state != Alive && r.version >= g.Version
}

// help pings a member for another one.
func (m *Machine) help(from netip.AddrPort, g *Message) {
	if len(m.relays) >= maxHelped {
		return
	}
	m.sequence++
	m.relays = append(m.relays, relay{
		sequence: m.sequence,
		target:   g.Target,
		origin:   from,
		answers:  g.Sequence,
		deadline: m.now.Add(IndirectProbeTimeout),
	})
	m.send(g.Address, Message{Type: Ping, Sequence: m.sequence})
}

// acked ends the probe or relay that g answers.
func (m *Machine) acked(g *Message) {
	p := &m.probe
	if p.target != nil && g.Sequence == p.sequence {
		if id := p.target.life.ID; g.From.ID == id || g.Target == id {
			p.target, p.asked = nil, time.Time{}
			m.improve()
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool {
		if r.sequence != g.Sequence || r.target != g.From.ID {
			return false
		}
		m.send(r.origin, Message{Type: Ack, Sequence: r.answers, Target: r.target})
		return true
	})
}

func (m *Machine) nacked(g *Message) {
	if g.Sequence == m.probe.sequence && m.probe.missed > 0 {
		m.probe.missed--
	}
}

// expireRelays tells the origins of the probes that got no answer.
func (m *Machine) expireRelays() {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool {
		if !m.due(r.deadline) {
			return false
		}
		m.send(r.origin, Message{Type: Nack, Sequence: r.answers, Target: r.target})
		return true
	})
}

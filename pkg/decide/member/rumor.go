package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	transmitFactor = 4
	// gossipRate is what gossip may send, in bytes a second.
	gossipRate = 4 << 10
	// gossipBurst is what gossip may send at once, in bytes.
	gossipBurst = 12 << 10
)

// transmissions returns how often one statement is sent on, which grows with log n as in SWIM.
func (m *Machine) transmissions() int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(len(m.ring)+2))))
}

// spread sends the statement that r holds on, less often where it came with a page.
func (m *Machine) spread(r *record) {
	r.transmits = m.transmissions()
	if m.quiet && r != m.me {
		r.transmits = GossipFanout
	}
	if !slices.Contains(m.rumors, r) {
		m.rumors = append(m.rumors, r)
	}
}

// fill puts the statements that were sent least into g, as many as fit.
func (m *Machine) fill(g *Message) {
	if len(m.rumors) == 0 {
		return
	}
	slices.SortStableFunc(m.rumors, func(a, b *record) int {
		return cmp.Compare(b.transmits, a.transmits)
	})
	room := MaxMessageSize - m.size(g)
	for _, r := range m.rumors {
		u := r.update()
		n := updateSize(&u)
		if n > room || len(g.Updates) == maxElements {
			break
		}
		room -= n
		r.transmits--
		g.Updates = append(g.Updates, u)
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r *record) bool { return r.transmits <= 0 })
}

// size returns an upper bound of the encoded size of g once sent.
func (m *Machine) size(g *Message) int {
	n := headerSize + len(m.me.life.ID) + len(g.Target) + len(g.Cursor) + addressSize(g.Address)
	for i := range g.Updates {
		n += updateSize(&g.Updates[i])
	}
	return n
}

// gossipDue returns when the next round of gossip is, zero where there is no news.
func (m *Machine) gossipDue() time.Time {
	if len(m.ring) == 0 || len(m.rumors) == 0 && m.hot == 0 {
		return time.Time{}
	}
	return m.pending
}

// runGossip sends news to a few members, within its rate.
func (m *Machine) runGossip() {
	if !m.due(m.pending) || len(m.ring) == 0 || len(m.rumors) == 0 && m.hot == 0 {
		return
	}
	m.pending = m.now.Add(GossipInterval)
	m.recharge()
	for _, r := range m.pick(GossipFanout, nil) {
		if m.credit < 0 {
			return
		}
		g := Message{Type: Gossip}
		m.fill(&g)
		m.hot = max(0, m.hot-1)
		m.credit -= float64(m.size(&g))
		m.send(r.detail.Address, g)
	}
}

func (m *Machine) recharge() {
	d := m.now.Sub(m.charged)
	m.charged = m.now
	m.credit = min(gossipBurst, m.credit+d.Seconds()*gossipRate)
}

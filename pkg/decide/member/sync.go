package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	pullTries   = 3
	rejoinTime  = 2 * time.Second
	maxWelcomes = 4
	// maxAsked bounds the seeds that are asked at once by a process that knows nobody.
	maxAsked = 8
	// youth is how long a process repairs its view more often after it joined.
	youth = 30 * time.Second
)

// A pull is a walk through the members that another process knows.
type pull struct {
	to       netip.AddrPort
	cursor   fleet.ID
	tries    int
	deadline time.Time
}

// join pulls from a seed, or from a contact in the own data centre. The other
// seeds are asked too: those of other data centres know no member of this one.
func (m *Machine) join() {
	if len(m.seeds) == 0 {
		m.pullDue = m.now
		return
	}
	m.pulled = m.now
	first := m.Random.IntN(len(m.seeds))
	m.startPull(m.seeds[first])
	for i := 1; i < min(len(m.seeds), maxAsked); i++ {
		to := m.seeds[(first+i)%len(m.seeds)]
		if to != m.me.detail.Address {
			m.askMembers(to, "")
		}
	}
}

func (m *Machine) startPull(to netip.AddrPort) {
	if to == m.me.detail.Address {
		return
	}
	m.pulled = m.now
	m.pull = pull{to: to}
	m.sendPull()
}

func (m *Machine) sendPull() {
	m.pull.tries++
	m.pull.deadline = m.now.Add(m.scaled(pullTimeout))
	m.askMembers(m.pull.to, m.pull.cursor)
}

// askMembers sends one Pull, which introduces this process.
func (m *Machine) askMembers(to netip.AddrPort, cursor fleet.ID) {
	m.send(to, Message{Type: Pull, Cursor: cursor, Updates: []Update{m.me.update()}})
}

// runPull repeats a lost pull, and joins again while this process knows nobody.
func (m *Machine) runPull() {
	switch {
	case m.due(m.pull.deadline) && m.pull.tries < pullTries:
		m.sendPull()
	case m.due(m.pull.deadline):
		m.pull = pull{}
	}
	if len(m.ring) == 0 && m.pull.deadline.IsZero() && m.now.Sub(m.pulled) >= rejoinTime {
		m.join()
	}
}

// servePull answers with a page of members, or with summaries to another data centre.
func (m *Machine) servePull(from netip.AddrPort, g *Message) {
	if len(g.Updates) == 0 || g.Updates[0].Metadata == nil {
		return
	}
	if !m.local(g.Updates[0].Metadata.Place) {
		m.welcome(from, &g.Updates[0])
		return
	}
	m.merge(&g.Updates[0])
	if g.Cursor == "" {
		m.send(from, Message{Type: Gossip, Updates: []Update{m.me.update()}})
	}
	m.sendPage(from, g.Cursor, g.From.ID)
}

// sendPage sends the members whose ID follows cursor.
func (m *Machine) sendPage(to netip.AddrPort, cursor, asker fleet.ID) {
	g := Message{Type: Page}
	room := MaxMessageSize - m.size(&g) - MaxNameSize
	i, found := slices.BinarySearch(m.ids, cursor)
	if found {
		i++
	}
	for ; i < len(m.ids); i++ {
		r := m.members[m.ids[i]]
		u := r.update()
		if r.live() && u.Metadata == nil || r.life.ID == asker && r.state == Alive {
			continue
		}
		n := updateSize(&u)
		if n > room || len(g.Updates) == maxElements {
			g.Cursor = m.ids[i-1]
			break
		}
		room -= n
		g.Updates = append(g.Updates, u)
	}
	m.send(to, g)
}

// takePage merges a page and asks for the next one.
func (m *Machine) takePage(from netip.AddrPort, g *Message) {
	m.quiet = true
	m.mergeAll(g.Updates)
	m.quiet = false
	if from != m.pull.to {
		return
	}
	if g.Cursor <= m.pull.cursor {
		m.pull = pull{}
		return
	}
	m.pull.cursor, m.pull.tries = g.Cursor, 0
	m.sendPull()
}

func (m *Machine) mergeAll(us []Update) {
	for i := range us {
		m.merge(&us[i])
	}
}

// repair pulls from a member whose view differs, once the own view has settled.
func (m *Machine) repair(from netip.AddrPort, g *Message) {
	if g.Digest == m.digest || !m.pull.deadline.IsZero() || m.now.Before(m.pullDue) {
		return
	}
	young := m.now.Sub(m.began) < youth
	settled := m.now.Sub(m.changed) >= settleTime
	if !young && !settled && m.now.Sub(m.pulled) < 4*PullInterval {
		return
	}
	wait := PullInterval
	if young {
		wait /= 4
	}
	m.pullDue = m.now.Add(wait/2 + m.jitter(wait/2))
	m.startPull(from)
}

// runReclaim probes a dead member, so that a healed partition merges again,
// and now and then a seed, so that two halves that never met find each other.
func (m *Machine) runReclaim() {
	if !m.due(m.reclaim) {
		return
	}
	m.welcomes = 0
	m.reclaim = m.now.Add(ReconnectInterval/2 + m.jitter(ReconnectInterval))
	m.expireTombs()
	if len(m.seeds) > 0 && m.Random.IntN(len(m.ring)+1) == 0 {
		m.askMembers(m.seeds[m.Random.IntN(len(m.seeds))], "")
	}
	if len(m.tombs) == 0 {
		return
	}
	r := m.tombs[m.Random.IntN(len(m.tombs))]
	if r.state == Dead && r.detail != nil {
		m.sequence++
		m.ping(r, m.sequence)
	}
}

func (m *Machine) expireTombs() {
	for len(m.tombs) > 0 && m.now.Sub(m.tombs[0].since) > TombstoneRetention {
		m.drop(m.tombs[0])
	}
}

package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// maxPullTries is the number of times that one Pull is sent.
	maxPullTries = 3
	// rejoinDelay is the time after a pull until a process that knows no other member joins again.
	rejoinDelay = 2 * time.Second
	// maxIntroductions is the number of members between two reconnects to which this process
	// introduces itself because they seem not to know it.
	maxIntroductions = 4
	// maxJoinSeeds is the number of seeds that are asked at once by a process that knows no
	// other member.
	maxJoinSeeds = 8
	// frequentRepairTime is how long after joining a process repairs its view more often.
	frequentRepairTime = 30 * time.Second
)

// A pull fetches the members that another process knows, page by page.
type pull struct {
	to       netip.AddrPort
	cursor   fleet.ID
	tries    int
	deadline time.Time
}

// join pulls from a random seed. It sends a Pull to other seeds too, because those of other
// data centres know no member of this one. Where their answers name contacts in this data
// centre, a pull from one of them follows.
func (m *Machine) join() {
	if len(m.seeds) == 0 {
		m.nextRepair = m.now
		return
	}
	m.lastPull = m.now
	first := m.Random.IntN(len(m.seeds))
	m.startPull(m.seeds[first])
	for i := 1; i < min(len(m.seeds), maxJoinSeeds); i++ {
		to := m.seeds[(first+i)%len(m.seeds)]
		if to != m.self.metadata.Address {
			m.requestPage(to, "")
		}
	}
}

// startPull starts a pull from the process at to, in place of one in progress.
func (m *Machine) startPull(to netip.AddrPort) {
	if to == m.self.metadata.Address {
		return
	}
	m.lastPull = m.now
	m.pull = pull{to: to}
	m.sendPull()
}

// sendPull asks for the next page of the pull in progress, or once more for the same one.
func (m *Machine) sendPull() {
	m.pull.tries++
	m.pull.deadline = m.now.Add(m.scaleByHealth(pullTimeout))
	m.requestPage(m.pull.to, m.pull.cursor)
}

// requestPage sends one Pull. It contains the update of this process, which introduces it.
func (m *Machine) requestPage(to netip.AddrPort, cursor fleet.ID) {
	m.send(to, Message{Type: Pull, Cursor: cursor, Updates: []Update{m.self.toUpdate()}})
}

// runPull repeats an unanswered Pull up to maxPullTries, and joins again while this process
// knows no other live member.
func (m *Machine) runPull() {
	switch {
	case m.isDue(m.pull.deadline) && m.pull.tries < maxPullTries:
		m.sendPull()
	case m.isDue(m.pull.deadline):
		m.pull = pull{}
	}
	if len(m.ring) == 0 && m.pull.deadline.IsZero() && m.now.Sub(m.lastPull) >= rejoinDelay {
		m.join()
	}
}

// handlePull answers a process of this data centre with a page of members, and one of
// another data centre with summaries.
func (m *Machine) handlePull(from netip.AddrPort, g *Message) {
	if len(g.Updates) == 0 || g.Updates[0].Metadata == nil {
		return
	}
	if !m.isLocal(g.Updates[0].Metadata.Place) {
		m.handleRemoteJoin(from, &g.Updates[0])
		return
	}
	m.merge(&g.Updates[0])
	if g.Cursor == "" {
		m.send(from, Message{Type: Gossip, Updates: []Update{m.self.toUpdate()}})
	}
	m.sendPage(from, g.Cursor, g.From.ID)
}

// sendPage sends a page of the members whose ID follows cursor. It leaves out live members
// without current metadata, and the requester if it is alive.
func (m *Machine) sendPage(to netip.AddrPort, cursor, requester fleet.ID) {
	g := Message{Type: Page}
	free := MaxMessageSize - m.messageSize(&g) - MaxNameSize
	i, found := slices.BinarySearch(m.ids, cursor)
	if found {
		i++
	}
	for ; i < len(m.ids); i++ {
		r := m.members[m.ids[i]]
		u := r.toUpdate()
		if r.live() && u.Metadata == nil || r.identity.ID == requester && r.state == Alive {
			continue
		}
		n := updateSize(&u)
		if n > free || len(g.Updates) == maxCollectionElements {
			g.Cursor = m.ids[i-1]
			break
		}
		free -= n
		g.Updates = append(g.Updates, u)
	}
	m.send(to, g)
}

// handlePage merges a page, and asks for the next one if it belongs to the pull in progress.
func (m *Machine) handlePage(from netip.AddrPort, g *Message) {
	m.mergingPage = true
	m.mergeAll(g.Updates)
	m.mergingPage = false
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

// repairView pulls from a member whose view differs, unless a pull is in progress or
// nextRepair is still to come. It does so only if the own view has settled, if this process
// has just joined, or if the last pull was at least four pull intervals ago.
func (m *Machine) repairView(from netip.AddrPort, g *Message) {
	if g.Digest == m.digest || !m.pull.deadline.IsZero() || m.now.Before(m.nextRepair) {
		return
	}
	justJoined := m.now.Sub(m.joinStartedAt) < frequentRepairTime
	settled := m.now.Sub(m.viewChangedAt) >= viewSettleTime
	if !justJoined && !settled && m.now.Sub(m.lastPull) < 4*PullInterval {
		return
	}
	delay := PullInterval
	if justJoined {
		delay /= 4
	}
	m.nextRepair = m.now.Add(delay/2 + m.jitter(delay/2))
	m.startPull(from)
}

// runReconnect probes a random dead member, so that a healed partition merges again, and
// occasionally asks a seed, so that two groups that never knew each other find each other.
func (m *Machine) runReconnect() {
	if !m.isDue(m.nextReconnect) {
		return
	}
	m.introductions = 0
	m.nextReconnect = m.now.Add(ReconnectInterval/2 + m.jitter(ReconnectInterval))
	m.expireTombstones()
	if len(m.seeds) > 0 && m.Random.IntN(len(m.ring)+1) == 0 {
		m.requestPage(m.seeds[m.Random.IntN(len(m.seeds))], "")
	}
	if len(m.tombstones) == 0 {
		return
	}
	r := m.tombstones[m.Random.IntN(len(m.tombstones))]
	if r.state == Dead && r.metadata != nil {
		m.sequence++
		m.ping(r, m.sequence)
	}
}

// expireTombstones removes the tombstones that are older than TombstoneRetention.
func (m *Machine) expireTombstones() {
	for len(m.tombstones) > 0 && m.now.Sub(m.tombstones[0].stateSince) > TombstoneRetention {
		m.removeMember(m.tombstones[0])
	}
}

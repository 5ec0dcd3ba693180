package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// retransmitFactor is the factor of the logarithm of the member count in retransmitLimit.
	retransmitFactor = 4
	// maxGossipRate is the mean rate at which gossip may send, in bytes per second.
	maxGossipRate = 4 << 10
	// maxGossipBurst is how much gossip may send at once, in bytes.
	maxGossipBurst = 12 << 10
)

// retransmitLimit returns how often an update is sent. As in SWIM it grows with the
// logarithm of the number of members.
func (m *Machine) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(m.ring)+2))))
}

// queueGossip queues the update of r to be sent retransmitLimit times, or GossipFanout times
// if it came with a page and is not on this process.
func (m *Machine) queueGossip(r *record) {
	r.transmitsLeft = m.retransmitLimit()
	if m.mergingPage && r != m.self {
		r.transmitsLeft = GossipFanout
	}
	if !slices.Contains(m.gossipQueue, r) {
		m.gossipQueue = append(m.gossipQueue, r)
	}
}

// addUpdates adds as many queued updates to g as fit, those with the most transmissions
// left first.
func (m *Machine) addUpdates(g *Message) {
	if len(m.gossipQueue) == 0 {
		return
	}
	slices.SortStableFunc(m.gossipQueue, func(a, b *record) int {
		return cmp.Compare(b.transmitsLeft, a.transmitsLeft)
	})
	free := MaxMessageSize - m.messageSize(g)
	for _, r := range m.gossipQueue {
		u := r.toUpdate()
		n := updateSize(&u)
		if n > free || len(g.Updates) == maxCollectionElements {
			break
		}
		free -= n
		r.transmitsLeft--
		g.Updates = append(g.Updates, u)
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(r *record) bool { return r.transmitsLeft <= 0 })
}

// messageSize returns an upper bound of the encoded size of g without its summaries and loads.
func (m *Machine) messageSize(g *Message) int {
	n := maxHeaderSize + len(m.self.identity.ID) + len(g.Target) + len(g.Cursor) + addressSize(g.Address)
	for i := range g.Updates {
		n += updateSize(&g.Updates[i])
	}
	return n
}

// gossipDue returns when the next round of gossip is due; zero if there is nothing to send.
func (m *Machine) gossipDue() time.Time {
	if len(m.ring) == 0 || len(m.gossipQueue) == 0 && m.revisionTransmitsLeft == 0 {
		return time.Time{}
	}
	return m.nextGossip
}

// runGossip sends the queued updates and the revision to GossipFanout random members, as
// far as the credit allows, when a round is due.
func (m *Machine) runGossip() {
	if !m.isDue(m.nextGossip) || len(m.ring) == 0 || len(m.gossipQueue) == 0 && m.revisionTransmitsLeft == 0 {
		return
	}
	m.nextGossip = m.now.Add(GossipInterval)
	m.refillCredit()
	for _, r := range m.randomMembers(GossipFanout, nil) {
		if m.gossipCredit < 0 {
			return
		}
		g := Message{Type: Gossip}
		m.addUpdates(&g)
		m.revisionTransmitsLeft = max(0, m.revisionTransmitsLeft-1)
		m.gossipCredit -= float64(m.messageSize(&g))
		m.send(r.metadata.Address, g)
	}
}

// refillCredit adds the gossip credit for the time since the last refill.
func (m *Machine) refillCredit() {
	d := m.now.Sub(m.creditRefilledAt)
	m.creditRefilledAt = m.now
	m.gossipCredit = min(maxGossipBurst, m.gossipCredit+d.Seconds()*maxGossipRate)
}

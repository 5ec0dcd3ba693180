package tablesync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// handleAnnouncement records a newer confirmation of the revision in force, or fetches a newer
// revision from the peer.
func (m *Machine) handleAnnouncement(e PeerAnnounced) {
	if e.Revision == m.revision() && m.state == InForce && e.Token > m.token {
		m.recordConfirmation(e.Token, m.confirmationTime(e.Token))
		return
	}
	if e.Revision <= m.revision() || m.isRefused(e.Revision) {
		return
	}
	m.addSource(source{e.Revision, e.From, e.Token})
	m.fetchNext()
}

// addSource adds s to the peers to fetch from, which are sorted by revision, newest first. It
// replaces an older entry of the same peer, and keeps at most maxFetchSources.
func (m *Machine) addSource(s source) {
	if s.from == m.fetching.from && s.revision == m.fetching.revision && !m.fetchDeadline.IsZero() {
		return
	}
	m.sources = slices.DeleteFunc(m.sources, func(o source) bool { return o.from == s.from })
	i := slices.IndexFunc(m.sources, func(o source) bool { return o.revision <= s.revision })
	if i < 0 {
		i = len(m.sources)
	}
	m.sources = slices.Insert(m.sources, i, s)
	m.sources = m.sources[:min(len(m.sources), maxFetchSources)]
}

// fetchNext fetches from the source with the newest revision, unless a fetch of the same or a newer
// revision is pending.
func (m *Machine) fetchNext() {
	if len(m.sources) == 0 {
		return
	}
	s := m.sources[0]
	if !m.fetchDeadline.IsZero() && m.fetching.revision >= s.revision {
		return
	}
	m.sources = m.sources[1:]
	m.fetching, m.fetchDeadline = s, m.now.Add(FetchTimeout)
	m.emit(Fetch{From: s.from})
}

// handleFetched adopts the table that a peer sent if it is newer, and starts the next fetch.
func (m *Machine) handleFetched(e Fetched) {
	token := m.tokenOf(e.From)
	m.endFetch(e.From)
	if e.Table.Revision > m.revision() {
		m.adopt(e.Table, token, m.confirmationTime(token))
	}
	m.fetchNext()
}

// tokenOf returns the newest known token that the peer at from announced.
func (m *Machine) tokenOf(from netip.AddrPort) uint64 {
	t := uint64(0)
	for _, s := range append(m.sources[:len(m.sources):len(m.sources)], m.fetching) {
		if s.from == from {
			t = max(t, s.token)
		}
	}
	return t
}

func (m *Machine) handleFetchFailed(from netip.AddrPort) {
	m.endFetch(from)
	m.fetchNext()
}

// endFetch ends the pending fetch if it is from the given peer.
func (m *Machine) endFetch(from netip.AddrPort) {
	if m.fetching.from == from {
		m.fetching, m.fetchDeadline = source{}, time.Time{}
	}
}

// dropOldSources drops the sources whose revision is not newer than the one in force.
func (m *Machine) dropOldSources() {
	m.sources = slices.DeleteFunc(m.sources, func(s source) bool { return s.revision <= m.revision() })
}

func (m *Machine) isRefused(r table.Revision) bool {
	return slices.Contains(m.refusedRevisions, r)
}

package tablesync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// seen takes what a peer has in force.
func (m *Machine) seen(e PeerAnnounced) {
	if e.Revision == m.revision() && m.state == InForce && e.Token > m.token {
		m.confirm(e.Token, m.heard(e.Token))
		return
	}
	if e.Revision <= m.revision() || m.isRefused(e.Revision) {
		return
	}
	m.remember(source{e.Revision, e.From, e.Token})
	m.fetch()
}

// remember keeps s as a peer to fetch from, the newest revision first.
func (m *Machine) remember(s source) {
	if s.from == m.fetching.from && s.revision == m.fetching.revision && !m.deadline.IsZero() {
		return
	}
	m.sources = slices.DeleteFunc(m.sources, func(o source) bool { return o.from == s.from })
	i := slices.IndexFunc(m.sources, func(o source) bool { return o.revision <= s.revision })
	if i < 0 {
		i = len(m.sources)
	}
	m.sources = slices.Insert(m.sources, i, s)
	m.sources = m.sources[:min(len(m.sources), maxSources)]
}

// fetch asks the best source, unless an answer for as new a revision is awaited.
func (m *Machine) fetch() {
	if len(m.sources) == 0 {
		return
	}
	s := m.sources[0]
	if !m.deadline.IsZero() && m.fetching.revision >= s.revision {
		return
	}
	m.sources = m.sources[1:]
	m.fetching, m.deadline = s, m.now.Add(FetchTimeout)
	m.do(Fetch{From: s.from})
}

// fetched takes the table of a peer.
func (m *Machine) fetched(e Fetched) {
	token := m.tokenOf(e.From)
	m.finish(e.From)
	if e.Table.Revision > m.revision() {
		m.adopt(e.Table, token, m.heard(token))
	}
	m.fetch()
}

// tokenOf returns the newest token that the peer at from told.
func (m *Machine) tokenOf(from netip.AddrPort) uint64 {
	t := uint64(0)
	for _, s := range append(m.sources[:len(m.sources):len(m.sources)], m.fetching) {
		if s.from == from {
			t = max(t, s.token)
		}
	}
	return t
}

func (m *Machine) fetchFailed(from netip.AddrPort) {
	m.finish(from)
	m.fetch()
}

// finish ends the wait for the peer at from.
func (m *Machine) finish(from netip.AddrPort) {
	if m.fetching.from == from {
		m.fetching, m.deadline = source{}, time.Time{}
	}
}

// forgetOld drops the sources that have nothing newer.
func (m *Machine) forgetOld() {
	m.sources = slices.DeleteFunc(m.sources, func(s source) bool { return s.revision <= m.revision() })
}

func (m *Machine) isRefused(r table.Revision) bool {
	return slices.Contains(m.refused, r)
}

package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A record is what this process knows of one member.
type record struct {
	life    fleet.ProcessIncarnation
	version uint32
	// detailed is the version that detail belongs to.
	detailed uint32
	state    State
	detail   *Metadata
	loads    []Load
	// term is the record's part of the digest, 0 where it has none.
	term uint64
	// since is when the state began.
	since     time.Time
	deadline  time.Time
	accusers  []fleet.ID
	transmits int
}

func (r *record) live() bool {
	return r.state == Alive || r.state == Suspect
}

func (r *record) info() Info {
	i := Info{Member: fleet.Member{ProcessIncarnation: r.life}}
	if r.detail != nil {
		i.Role, i.Place, i.Address = r.detail.Role, r.detail.Place, r.detail.Address
		i.Offers = r.detail.Offers
	}
	return i
}

// update returns r as a statement, with its newest accuser, and with its detail where it is live.
func (r *record) update() Update {
	u := Update{State: r.state, Identity: r.life, Version: r.version}
	if r.state == Suspect && len(r.accusers) > 0 {
		u.SuspectedBy = r.accusers[len(r.accusers)-1]
	}
	if r.live() && r.detailed == r.version {
		u.Metadata = r.detail
	}
	return u
}

// compare orders the statement u against r: a newer life, then a newer version, then
// the worse state goes first. A member that leaves raises no version any more, so that it never returns.
func compare(u *Update, r *record) int {
	return cmp.Or(
		cmp.Compare(u.Identity.Incarnation, r.life.Incarnation),
		cmp.Compare(u.Version, r.version),
		cmp.Compare(u.State, r.state),
	)
}

// merge takes the statement u in.
func (m *Machine) merge(u *Update) {
	if u.Identity.ID == m.me.life.ID {
		m.refute(u)
		return
	}
	if u.Metadata != nil && !m.local(u.Metadata.Place) {
		return
	}
	r := m.members[u.Identity.ID]
	if r == nil {
		m.admit(u)
		return
	}
	switch c := compare(u, r); {
	case c > 0:
		m.replace(r, u)
	case c == 0:
		m.confirm(r, u)
	}
}

func (m *Machine) local(p fleet.Place) bool {
	me := m.me.detail.Place
	return p.Region == me.Region && p.DataCentre == me.DataCentre
}

// admit takes a member in that is not known yet.
func (m *Machine) admit(u *Update) {
	if u.State <= Suspect && u.Metadata == nil {
		return
	}
	r := &record{life: u.Identity, state: Left}
	i, _ := slices.BinarySearch(m.ids, u.Identity.ID)
	m.ids = slices.Insert(m.ids, i, u.Identity.ID)
	m.members[u.Identity.ID] = r
	if u.State >= Dead {
		m.bury(r)
	}
	m.replace(r, u)
}

// replace lets the newer statement u take the place of what r holds.
func (m *Machine) replace(r *record, u *Update) {
	was, newLife := r.live(), u.Identity.Incarnation != r.life.Incarnation
	if u.State <= Suspect && u.Metadata == nil && (newLife || r.detail == nil) {
		return
	}
	if newLife {
		r.loads = nil
	}
	r.life, r.version, r.state, r.since = u.Identity, u.Version, u.State, m.now
	if u.Metadata != nil {
		r.detail, r.detailed = u.Metadata, u.Version
	}
	m.relist(r, was)
	m.sum(r)
	m.suspect(r, u.SuspectedBy)
	m.spread(r)
	m.changed = m.now
	m.out = append(m.out, Changed{Info: r.info(), State: r.state})
	if !was && r.live() {
		m.greet(r)
	}
}

// confirm adds what an equal statement knows more.
func (m *Machine) confirm(r *record, u *Update) {
	if u.Metadata != nil && r.detailed != u.Version {
		r.detail, r.detailed = u.Metadata, u.Version
		m.sum(r)
		m.out = append(m.out, Changed{Info: r.info(), State: r.state})
	}
	if r.state == Suspect {
		m.support(r, u.SuspectedBy)
	}
}

// relist moves r between the ring and the tombstones.
func (m *Machine) relist(r *record, was bool) {
	switch {
	case r.live() && !was:
		m.tombs = without(m.tombs, r)
		m.ring = slices.Insert(m.ring, m.Random.IntN(len(m.ring)+1), r)
	case !r.live() && was:
		m.ring = without(m.ring, r)
		m.bury(r)
	}
}

// bury keeps r as a tombstone and drops the oldest ones.
func (m *Machine) bury(r *record) {
	m.tombs = append(m.tombs, r)
	for len(m.tombs) > MaxTombstones {
		m.drop(m.tombs[0])
	}
}

func (m *Machine) drop(r *record) {
	m.tombs = without(m.tombs, r)
	m.rumors = without(m.rumors, r)
	delete(m.members, r.life.ID)
	if i, ok := slices.BinarySearch(m.ids, r.life.ID); ok {
		m.ids = slices.Delete(m.ids, i, i+1)
	}
}

func without(rs []*record, r *record) []*record {
	if i := slices.Index(rs, r); i >= 0 {
		return slices.Delete(rs, i, i+1)
	}
	return rs
}

// sum renews the part of r in the digest.
func (m *Machine) sum(r *record) {
	m.digest ^= r.term
	r.term = 0
	if !r.live() {
		return
	}
	b := make([]byte, 0, MaxNameSize+48)
	b = append(b, r.life.ID...)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(r.life.Incarnation), 36)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(r.version), 36)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(r.detailed), 36)
	r.term = xxhash.Sum64(b)
	m.digest ^= r.term
}

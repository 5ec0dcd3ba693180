package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A record is what this process knows about one member.
type record struct {
	identity fleet.ProcessIncarnation
	version  uint32
	// metadataVersion is the version to which metadata belongs.
	metadataVersion uint32
	state           State
	metadata        *Metadata
	loads           []Load
	// digestTerm is the hash of the record in the digest; 0 if it is not live.
	digestTerm uint64
	// stateSince is when the state began.
	stateSince time.Time
	// suspicionDeadline is when a suspect is declared dead.
	suspicionDeadline time.Time
	// suspectedBy holds the members known to suspect this one on their own evidence.
	suspectedBy []fleet.ID
	// transmitsLeft is how often the update is still to be sent.
	transmitsLeft int
}

func (r *record) live() bool {
	return r.state == Alive || r.state == Suspect
}

func (r *record) info() Info {
	i := Info{Member: fleet.Member{ProcessIncarnation: r.identity}}
	if r.metadata != nil {
		i.Role, i.Place, i.Address = r.metadata.Role, r.metadata.Place, r.metadata.Address
		i.Offers = r.metadata.Offers
	}
	return i
}

// toUpdate returns r as an update. A suspicion contains the member that joined it last,
// and a live record contains the metadata if it is of the current version.
func (r *record) toUpdate() Update {
	u := Update{State: r.state, Identity: r.identity, Version: r.version}
	if r.state == Suspect && len(r.suspectedBy) > 0 {
		u.SuspectedBy = r.suspectedBy[len(r.suspectedBy)-1]
	}
	if r.live() && r.metadataVersion == r.version {
		u.Metadata = r.metadata
	}
	return u
}

// compareUpdate compares u with r by incarnation, then by version, then by state, where a
// later state is greater. A member that has left raises its version no more, so that no
// update of the same incarnation makes it live again.
func compareUpdate(u *Update, r *record) int {
	return cmp.Or(
		cmp.Compare(u.Identity.Incarnation, r.identity.Incarnation),
		cmp.Compare(u.Version, r.version),
		cmp.Compare(u.State, r.state),
	)
}

// merge applies u to the view if it is newer than the record, or adds to it. It ignores
// updates on members of other data centres, and passes those on this process to refute.
func (m *Machine) merge(u *Update) {
	if u.Identity.ID == m.self.identity.ID {
		m.refute(u)
		return
	}
	if u.Metadata != nil && !m.isLocal(u.Metadata.Place) {
		return
	}
	r := m.members[u.Identity.ID]
	if r == nil {
		m.addMember(u)
		return
	}
	switch c := compareUpdate(u, r); {
	case c > 0:
		m.applyNewer(r, u)
	case c == 0:
		m.applyEqual(r, u)
	}
}

// isLocal reports whether p is in the data centre of this process.
func (m *Machine) isLocal(p fleet.Place) bool {
	own := m.self.metadata.Place
	return p.Region == own.Region && p.DataCentre == own.DataCentre
}

// addMember adds a member that is not known yet. A live one needs metadata.
func (m *Machine) addMember(u *Update) {
	if u.State <= Suspect && u.Metadata == nil {
		return
	}
	r := &record{identity: u.Identity, state: Left}
	i, _ := slices.BinarySearch(m.ids, u.Identity.ID)
	m.ids = slices.Insert(m.ids, i, u.Identity.ID)
	m.members[u.Identity.ID] = r
	if u.State >= Dead {
		m.addTombstone(r)
	}
	m.applyNewer(r, u)
}

// applyNewer replaces the content of r by the newer update u, unless u is on a live member
// whose metadata would then be missing.
func (m *Machine) applyNewer(r *record, u *Update) {
	wasLive, newIncarnation := r.live(), u.Identity.Incarnation != r.identity.Incarnation
	if u.State <= Suspect && u.Metadata == nil && (newIncarnation || r.metadata == nil) {
		return
	}
	if newIncarnation {
		r.loads = nil
	}
	r.identity, r.version, r.state, r.stateSince = u.Identity, u.Version, u.State, m.now
	if u.Metadata != nil {
		r.metadata, r.metadataVersion = u.Metadata, u.Version
	}
	m.updateLists(r, wasLive)
	m.updateDigest(r)
	m.updateSuspicion(r, u.SuspectedBy)
	m.queueGossip(r)
	m.viewChangedAt = m.now
	m.out = append(m.out, Changed{Info: r.info(), State: r.state})
	if !wasLive && r.live() {
		m.sendSummariesToEntry(r)
	}
}

// applyEqual adds the metadata or the suspicion that u contains and r lacks; both have
// the same incarnation, version and state.
func (m *Machine) applyEqual(r *record, u *Update) {
	if u.Metadata != nil && r.metadataVersion != u.Version {
		r.metadata, r.metadataVersion = u.Metadata, u.Version
		m.updateDigest(r)
		m.out = append(m.out, Changed{Info: r.info(), State: r.state})
	}
	if r.state == Suspect {
		m.confirmSuspicion(r, u.SuspectedBy)
	}
}

// updateLists moves r between the ring and the tombstones if it became live, or is no longer so.
func (m *Machine) updateLists(r *record, wasLive bool) {
	switch {
	case r.live() && !wasLive:
		m.tombstones = removeRecord(m.tombstones, r)
		m.ring = slices.Insert(m.ring, m.Random.IntN(len(m.ring)+1), r)
	case !r.live() && wasLive:
		m.ring = removeRecord(m.ring, r)
		m.addTombstone(r)
	}
}

// addTombstone adds r to the tombstones, and removes the oldest ones beyond MaxTombstones.
func (m *Machine) addTombstone(r *record) {
	m.tombstones = append(m.tombstones, r)
	for len(m.tombstones) > MaxTombstones {
		m.removeMember(m.tombstones[0])
	}
}

// removeMember removes all knowledge of r, which is a tombstone.
func (m *Machine) removeMember(r *record) {
	m.tombstones = removeRecord(m.tombstones, r)
	m.gossipQueue = removeRecord(m.gossipQueue, r)
	delete(m.members, r.identity.ID)
	if i, ok := slices.BinarySearch(m.ids, r.identity.ID); ok {
		m.ids = slices.Delete(m.ids, i, i+1)
	}
}

// removeRecord removes r from rs in place and returns the result.
func removeRecord(rs []*record, r *record) []*record {
	if i := slices.Index(rs, r); i >= 0 {
		return slices.Delete(rs, i, i+1)
	}
	return rs
}

// updateDigest updates the digest after a change of r.
func (m *Machine) updateDigest(r *record) {
	m.digest ^= r.digestTerm
	r.digestTerm = 0
	if !r.live() {
		return
	}
	b := make([]byte, 0, MaxNameSize+48)
	b = append(b, r.identity.ID...)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(r.identity.Incarnation), 36)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(r.version), 36)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(r.metadataVersion), 36)
	r.digestTerm = xxhash.Sum64(b)
	m.digest ^= r.digestTerm
}

package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The timing of the division between shards.
const (
	// peerAckTimeout is how long after its last contact a shard's acknowledgement is still awaited.
	peerAckTimeout = 5 * time.Second
	// peerClaimTTL is how long the last claim of an unresponsive shard counts.
	peerClaimTTL = time.Minute
	// roundingPeriod is how long the rounding of the parts stays the same.
	roundingPeriod = 10 * time.Second
)

// A ShareName names what is divided: the ceiling and floor of a kind, or the quota of a team.
type ShareName struct {
	Kind fleet.Kind `cbor:"1,keyasint,omitempty"`
	Team fleet.Team `cbor:"2,keyasint,omitempty"`
}

// A Share is one shard's report on one name, in slots.
type Share struct {
	ShareName
	// Used counts the slots of placed tasks. Demand adds those of queued tasks.
	Used   int `cbor:"3,keyasint,omitempty"`
	Demand int `cbor:"4,keyasint,omitempty"`
	// Claim is the maximum that the shard uses until it reports a lower claim.
	Claim int `cbor:"5,keyasint,omitempty"`
}

// A ShareReport is what one shard reports to the others in one round.
type ShareReport struct {
	Shard  int     `cbor:"1,keyasint"`
	Epoch  uint64  `cbor:"2,keyasint"`
	Round  uint64  `cbor:"3,keyasint"`
	Shares []Share `cbor:"4,keyasint,omitempty"`
	// EvictionRequests ask other shards to evict tasks. ReservedHosts are to take
	// no non-urgent tasks of other shards.
	EvictionRequests []EvictionRequest `cbor:"5,keyasint,omitempty"`
	ReservedHosts    []fleet.ID        `cbor:"6,keyasint,omitempty"`
}

// A Usage is a shard's own use of and demand for one name, in slots.
type Usage struct {
	ShareName
	Used   int
	Demand int
	// Ceiling and Floor are those of the whole fleet. For a team, Ceiling is its quota.
	Ceiling int
	Floor   int
}

// Shares divides the fleet-wide ceilings, floors and quotas between shards by
// demand. A shard first reports a claim, and uses it only once the others have
// acknowledged it and only as far as their claims leave it free. So of two
// shards that start tasks at once, the later one knows what the other may use,
// and the ceiling holds. Set the exported fields before first use.
type Shares struct {
	Shard  int
	Shards int
	Epoch  uint64

	startedAt time.Time
	round     uint64
	usages    []Usage
	ownShares map[ShareName]Share
	peers     map[int]*peerState
	// targetParts are this shard's parts of ceilings and quotas by demand,
	// usableParts what it may use of them now, floorParts its parts of floors.
	targetParts map[ShareName]int
	usableParts map[ShareName]int
	floorParts  map[ShareName]int
}

// A peerState is the last report of another shard and what it has acknowledged.
type peerState struct {
	epoch      uint64
	round      uint64
	reportedAt time.Time
	shares     map[ShareName]Share
	// ackedClaims are the claims of this shard that the peer has acknowledged.
	ackedClaims map[ShareName]int
}

// BeginRound begins a round with this shard's usages and returns the report for the others.
func (s *Shares) BeginRound(now time.Time, usages []Usage) ShareReport {
	if s.peers == nil {
		s.startedAt = now
		s.peers = map[int]*peerState{}
	}
	s.round++
	s.usages = usages
	s.ownShares = make(map[ShareName]Share, len(usages))
	s.targetParts = make(map[ShareName]int, len(usages))
	s.floorParts = make(map[ShareName]int, len(usages))
	r := ShareReport{Shard: s.Shard, Epoch: s.Epoch, Round: s.round}
	for _, u := range usages {
		part := s.ownPart(now, u, u.Ceiling)
		x := Share{ShareName: u.ShareName, Used: u.Used, Demand: u.Demand, Claim: max(u.Used, part)}
		s.ownShares[u.ShareName] = x
		s.targetParts[u.ShareName] = part
		s.lowerAckedClaims(x)
		s.floorParts[u.ShareName] = s.ownPart(now, u, u.Floor)
		if x.Demand > 0 || x.Claim > 0 {
			r.Shares = append(r.Shares, x)
		}
	}
	s.updateUsableParts(now)
	return r
}

// HandleReport applies the report of another shard.
func (s *Shares) HandleReport(now time.Time, r ShareReport) {
	if s.peers == nil || r.Shard == s.Shard {
		return
	}
	p := s.peers[r.Shard]
	switch {
	case p == nil, r.Epoch > p.epoch:
		// A new owner has not acknowledged any claim yet.
		p = &peerState{epoch: r.Epoch, ackedClaims: map[ShareName]int{}}
		s.peers[r.Shard] = p
	case r.Epoch < p.epoch || r.Round <= p.round:
		return
	}
	p.round = r.Round
	p.reportedAt = now
	p.shares = make(map[ShareName]Share, len(r.Shares))
	for _, x := range r.Shares {
		p.shares[x.ShareName] = x
	}
	s.updateUsableParts(now)
}

// Acknowledge records that the owner of another shard in an epoch has accepted the report of a round.
func (s *Shares) Acknowledge(now time.Time, shard int, epoch, round uint64) {
	p := s.peers[shard]
	if p == nil || p.epoch != epoch || round != s.round {
		return
	}
	for n, x := range s.ownShares {
		p.ackedClaims[n] = x.Claim
	}
	s.updateUsableParts(now)
}

// lowerAckedClaims limits the acknowledged claims to x. Peers may receive the lower claim
// even if their answer is lost, so a higher one needs a new acknowledgement.
func (s *Shares) lowerAckedClaims(x Share) {
	for _, p := range s.peers {
		p.ackedClaims[x.ShareName] = min(p.ackedClaims[x.ShareName], x.Claim)
	}
}

// Ceiling returns how many slots a kind's tasks in the shard may use.
func (s *Shares) Ceiling(k fleet.Kind) int { return s.usableParts[ShareName{Kind: k}] }

// Floor returns the shard's part of a kind's floor, in slots.
func (s *Shares) Floor(k fleet.Kind) int { return s.floorParts[ShareName{Kind: k}] }

// Quota returns how many slots a team's tasks in the shard may use.
func (s *Shares) Quota(t fleet.Team) int { return s.usableParts[ShareName{Team: t}] }

// updateUsableParts recomputes the parts that this shard may use.
func (s *Shares) updateUsableParts(now time.Time) {
	s.usableParts = make(map[ShareName]int, len(s.usages))
	for _, u := range s.usages {
		s.usableParts[u.ShareName] = max(0, min(s.targetParts[u.ShareName], s.ackedClaim(now, u.ShareName), u.Ceiling-s.peerClaims(now, u)))
	}
}

// ackedClaim returns the claim that all peers have acknowledged. A peer that has not yet
// connected counts with 0. Peers without contact for peerAckTimeout are left out.
func (s *Shares) ackedClaim(now time.Time, n ShareName) int {
	c := s.ownShares[n].Claim
	for i := range s.Shards {
		if i == s.Shard {
			continue
		}
		p := s.peers[i]
		switch {
		case p == nil && now.Sub(s.startedAt) < peerAckTimeout:
			return 0
		case p != nil && now.Sub(p.reportedAt) < peerAckTimeout:
			c = min(c, p.ackedClaims[n])
		}
	}
	return c
}

// peerClaims returns what the other shards may use. A shard that has not yet
// connected counts with an even part until peerClaimTTL has passed.
func (s *Shares) peerClaims(now time.Time, u Usage) int {
	sum := 0
	for i := range s.Shards {
		p := s.peers[i]
		switch {
		case i == s.Shard:
		case p == nil && now.Sub(s.startedAt) < peerClaimTTL:
			sum += u.Ceiling / s.Shards
		case p != nil && now.Sub(p.reportedAt) < peerClaimTTL:
			sum += p.shares[u.ShareName].Claim
		}
	}
	return sum
}

// ownPart returns this shard's part of whole. If all demand fits, that is the
// shard's demand and an even part of the rest, else a part in proportion to demand.
// What a shard uses beyond its part is deducted from the other parts until it ends.
// Parts are rounded by systematic sampling with a start that changes each
// period, so that on average over the periods each shard has its exact part.
func (s *Shares) ownPart(now time.Time, u Usage, whole int) int {
	shares := s.knownShares(now, u)
	parts := proportionalParts(shares, whole)
	period := now.UnixNano() / int64(roundingPeriod)
	if float64(shares[s.Shard].Used) <= parts[s.Shard] {
		deductOveruse(shares, whole, parts)
	}
	before := 0.0
	for _, p := range parts[:s.Shard] {
		before += p
	}
	return wholeSlotsBelow(before+parts[s.Shard], period) - wholeSlotsBelow(before, period)
}

// proportionalParts returns the parts of whole by demand alone, without regard to current use.
func proportionalParts(shares []Share, whole int) []float64 {
	parts := make([]float64, len(shares))
	total := 0
	for _, x := range shares {
		total += x.Demand
	}
	for i, x := range shares {
		parts[i] = float64(x.Demand) + float64(whole-total)/float64(len(shares))
		if total > whole {
			parts[i] = float64(x.Demand) * float64(whole) / float64(total)
		}
	}
	return parts
}

// deductOveruse raises the parts of shards that use more to their use, and lowers the others to fit.
func deductOveruse(shares []Share, whole int, parts []float64) {
	over := make([]bool, len(shares))
	for changed := true; changed; {
		changed = false
		remaining, total := float64(whole), 0.0
		for i, x := range shares {
			if over[i] = over[i] || float64(x.Used) > parts[i]+1e-9; over[i] {
				remaining -= float64(x.Used)
			} else {
				total += parts[i]
			}
		}
		for i, x := range shares {
			p := float64(x.Used)
			if !over[i] {
				p = max(0, parts[i]*max(0, remaining)/max(total, 1e-9))
			}
			changed = changed || p < parts[i]-1e-9
			parts[i] = p
		}
	}
}

// goldenRatioInverse is the inverse of the golden ratio. Its multiples modulo 1 space the
// starts of successive periods evenly.
const goldenRatioInverse = 0.618033988749894848

// wholeSlotsBelow returns how many whole slots lie below x with the start of a period.
func wholeSlotsBelow(x float64, period int64) int {
	start := float64(period%10_000) * goldenRatioInverse
	start -= float64(int64(start))
	return int(x + start + 1e-9)
}

// knownShares returns the last report of each shard on a name, zero if it is too old.
func (s *Shares) knownShares(now time.Time, u Usage) []Share {
	shares := make([]Share, s.Shards)
	for i := range shares {
		if i == s.Shard {
			shares[i] = Share{Used: u.Used, Demand: u.Demand}
		} else if p := s.peers[i]; p != nil && now.Sub(p.reportedAt) < peerClaimTTL {
			shares[i] = p.shares[u.ShareName]
		}
	}
	return shares
}

// Usages returns this shard's usage of each kind and of each team with a quota.
func (p *Placer[K]) Usages() []Usage {
	p.setUp()
	usages := map[ShareName]Usage{}
	add := func(n ShareName, used, queued int, ceiling, floor float64) {
		usages[n] = Usage{
			ShareName: n, Used: used, Demand: used + queued,
			Ceiling: int(ceiling*float64(p.totalSlots) + 1e-9), Floor: int(floor*float64(p.totalSlots) + 1e-9),
		}
	}
	for _, k := range p.kindList {
		add(ShareName{Kind: k.name}, k.usedSlots, k.queuedSlots, float64(k.row.Ceiling), float64(k.row.Floor))
	}
	if p.Table == nil {
		return sortedUsages(usages)
	}
	for _, r := range p.Table.Rows {
		if p.kinds[r.Kind] == nil {
			add(ShareName{Kind: r.Kind}, 0, 0, float64(r.Ceiling), float64(r.Floor))
		}
	}
	for _, r := range p.Table.Teams {
		add(ShareName{Team: r.Team}, p.teamUsedSlots[r.Team], p.teamQueuedSlots[r.Team], float64(r.Quota), 0)
	}
	return sortedUsages(usages)
}

func sortedUsages(m map[ShareName]Usage) []Usage {
	return slices.SortedFunc(maps.Values(m), func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Team, b.Team))
	})
}

package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The times of the shares.
const (
	// shareFresh is how long a shard is waited for that was heard and falls silent.
	shareFresh = 5 * time.Second
	// shareTrust is how long the last claim of a silent shard counts.
	shareTrust = time.Minute
	// shareTurn is how long the rounding of the split stays the same.
	shareTurn = 10 * time.Second
)

// A ShareName names what is divided: a kind's ceiling or a team's quota.
type ShareName struct {
	Kind fleet.Kind `cbor:"1,keyasint,omitempty"`
	Team fleet.Team `cbor:"2,keyasint,omitempty"`
}

// A Share is what one shard tells of one name, in slots.
type Share struct {
	ShareName
	// Used is what runs, Demand that and what waits.
	Used   int `cbor:"3,keyasint,omitempty"`
	Demand int `cbor:"4,keyasint,omitempty"`
	// Claim is what the shard may use until it tells a lower claim.
	Claim int `cbor:"5,keyasint,omitempty"`
}

// A ShareReport is what one shard tells the others in one round.
type ShareReport struct {
	Shard  int     `cbor:"1,keyasint"`
	Epoch  uint64  `cbor:"2,keyasint"`
	Round  uint64  `cbor:"3,keyasint"`
	Shares []Share `cbor:"4,keyasint,omitempty"`
	// EvictionRequests ask other shards to make room, Kept are hosts to leave to urgent work.
	EvictionRequests []EvictionRequest `cbor:"5,keyasint,omitempty"`
	ReservedHosts    []fleet.ID        `cbor:"6,keyasint,omitempty"`
}

// A Usage is what a shard itself uses and wants of one name, in slots.
type Usage struct {
	ShareName
	Used   int
	Demand int
	// Ceiling and Floor are fleet-wide.
	Ceiling int
	Floor   int
}

// Shares divides the fleet-wide ceilings, floors and quotas between shards by
// demand. A shard tells a claim first and uses it once the others took it, and
// never more than the others' claims leave. So the last of two that start
// something knows what the other may use, and the ceiling holds.
// Set the exported fields before first use.
type Shares struct {
	Shard  int
	Shards int
	Epoch  uint64

	began time.Time
	round uint64
	uses  []Usage
	own   map[ShareName]Share
	peers map[int]*sharePeer
	// targets, limits and floors are this shard's parts: those it should have,
	// and those that it may use.
	targets map[ShareName]int
	limits  map[ShareName]int
	floors  map[ShareName]int
}

// A sharePeer is what is known of another shard.
type sharePeer struct {
	epoch  uint64
	round  uint64
	at     time.Time
	shares map[ShareName]Share
	// told are the claims that the shard is known to have taken.
	told map[ShareName]int
}

// BeginRound begins a round with what this shard uses, and returns what to tell the others.
func (s *Shares) BeginRound(now time.Time, uses []Usage) ShareReport {
	if s.peers == nil {
		s.began = now
		s.peers = map[int]*sharePeer{}
	}
	s.round++
	s.uses = uses
	s.own = make(map[ShareName]Share, len(uses))
	s.targets = make(map[ShareName]int, len(uses))
	s.floors = make(map[ShareName]int, len(uses))
	r := ShareReport{Shard: s.Shard, Epoch: s.Epoch, Round: s.round}
	for _, u := range uses {
		target := s.split(now, u, u.Ceiling)
		x := Share{ShareName: u.ShareName, Used: u.Used, Demand: u.Demand, Claim: max(u.Used, target)}
		s.own[u.ShareName] = x
		s.targets[u.ShareName] = target
		s.lower(x)
		s.floors[u.ShareName] = s.split(now, u, u.Floor)
		if x.Demand > 0 || x.Claim > 0 {
			r.Shares = append(r.Shares, x)
		}
	}
	s.limit(now)
	return r
}

// HandleReport takes what another shard tells.
func (s *Shares) HandleReport(now time.Time, r ShareReport) {
	if s.peers == nil || r.Shard == s.Shard {
		return
	}
	p := s.peers[r.Shard]
	switch {
	case p == nil, r.Epoch > p.epoch:
		// A new owner has taken no claim of this one yet.
		p = &sharePeer{epoch: r.Epoch, told: map[ShareName]int{}}
		s.peers[r.Shard] = p
	case r.Epoch < p.epoch || r.Round <= p.round:
		return
	}
	p.round = r.Round
	p.at = now
	p.shares = make(map[ShareName]Share, len(r.Shares))
	for _, x := range r.Shares {
		p.shares[x.ShareName] = x
	}
	s.limit(now)
}

// Acknowledge notes that the owner of another shard in an epoch took the report of a round.
func (s *Shares) Acknowledge(now time.Time, shard int, epoch, round uint64) {
	p := s.peers[shard]
	if p == nil || p.epoch != epoch || round != s.round {
		return
	}
	for n, x := range s.own {
		p.told[n] = x.Claim
	}
	s.limit(now)
}

// lower notes that a peer may have heard a claim that is lower than what it took.
func (s *Shares) lower(x Share) {
	for _, p := range s.peers {
		p.told[x.ShareName] = min(p.told[x.ShareName], x.Claim)
	}
}

// Ceiling returns how many slots the shard's tasks of a kind may use.
func (s *Shares) Ceiling(k fleet.Kind) int { return s.limits[ShareName{Kind: k}] }

// Floor returns the shard's part of a kind's floor, in slots.
func (s *Shares) Floor(k fleet.Kind) int { return s.floors[ShareName{Kind: k}] }

// Quota returns how many slots a team's tasks of the shard may use.
func (s *Shares) Quota(t fleet.Team) int { return s.limits[ShareName{Team: t}] }

// limit brings the parts that may be used up to date.
func (s *Shares) limit(now time.Time) {
	s.limits = make(map[ShareName]int, len(s.uses))
	for _, u := range s.uses {
		s.limits[u.ShareName] = max(0, min(s.targets[u.ShareName], s.taken(now, u.ShareName), u.Ceiling-s.others(now, u)))
	}
}

// taken returns which claim every shard that is waited for has taken.
func (s *Shares) taken(now time.Time, n ShareName) int {
	c := s.own[n].Claim
	for i := range s.Shards {
		if i == s.Shard {
			continue
		}
		p := s.peers[i]
		switch {
		case p == nil && now.Sub(s.began) < shareFresh:
			return 0
		case p != nil && now.Sub(p.at) < shareFresh:
			c = min(c, p.told[n])
		}
	}
	return c
}

// others returns what the other shards may use. One that was never heard
// counts with an even part for a while.
func (s *Shares) others(now time.Time, u Usage) int {
	sum := 0
	for i := range s.Shards {
		p := s.peers[i]
		switch {
		case i == s.Shard:
		case p == nil && now.Sub(s.began) < shareTrust:
			sum += u.Ceiling / s.Shards
		case p != nil && now.Sub(p.at) < shareTrust:
			sum += p.shares[u.ShareName].Claim
		}
	}
	return sum
}

// split returns this shard's part of whole: what is asked for where all of it
// fits, with an even part of the rest, else a part in proportion to demand.
// What a shard uses beyond its part is taken from the others' parts until it ends.
// Parts are rounded by systematic sampling, from a start that changes each
// turn, so that over the turns each shard has its exact part.
func (s *Shares) split(now time.Time, u Usage, whole int) int {
	all := s.known(now, u)
	parts := proportional(all, whole)
	turn := now.UnixNano() / int64(shareTurn)
	if float64(all[s.Shard].Used) <= parts[s.Shard] {
		yield(all, whole, parts)
	}
	before := 0.0
	for _, p := range parts[:s.Shard] {
		before += p
	}
	return cut(before+parts[s.Shard], turn) - cut(before, turn)
}

// proportional returns the parts of whole without regard to what is used.
func proportional(all []Share, whole int) []float64 {
	parts := make([]float64, len(all))
	total := 0
	for _, x := range all {
		total += x.Demand
	}
	for i, x := range all {
		parts[i] = float64(x.Demand) + float64(whole-total)/float64(len(all))
		if total > whole {
			parts[i] = float64(x.Demand) * float64(whole) / float64(total)
		}
	}
	return parts
}

// yield lowers the parts by what some shards use beyond theirs.
func yield(all []Share, whole int, parts []float64) {
	over := make([]bool, len(all))
	for again := true; again; {
		again = false
		left, total := float64(whole), 0.0
		for i, x := range all {
			if over[i] = over[i] || float64(x.Used) > parts[i]+1e-9; over[i] {
				left -= float64(x.Used)
			} else {
				total += parts[i]
			}
		}
		for i, x := range all {
			p := float64(x.Used)
			if !over[i] {
				p = max(0, parts[i]*max(0, left)/max(total, 1e-9))
			}
			again = again || p < parts[i]-1e-9
			parts[i] = p
		}
	}
}

// golden spaces the starts of successive turns evenly: the inverse of the golden ratio.
const golden = 0.618033988749894848

// cut returns how many whole slots lie below x at the start of a turn.
func cut(x float64, turn int64) int {
	start := float64(turn%10_000) * golden
	start -= float64(int64(start))
	return int(x + start + 1e-9)
}

// known returns what each shard tells of a name.
func (s *Shares) known(now time.Time, u Usage) []Share {
	all := make([]Share, s.Shards)
	for i := range all {
		if i == s.Shard {
			all[i] = Share{Used: u.Used, Demand: u.Demand}
		} else if p := s.peers[i]; p != nil && now.Sub(p.at) < shareTrust {
			all[i] = p.shares[u.ShareName]
		}
	}
	return all
}

// Usages returns what this shard uses and asks for of each kind and of each team with a quota.
func (p *Placer[K]) Usages() []Usage {
	p.setUp()
	uses := map[ShareName]Usage{}
	add := func(n ShareName, used, waiting int, ceiling, floor float64) {
		uses[n] = Usage{
			ShareName: n, Used: used, Demand: used + waiting,
			Ceiling: int(ceiling*float64(p.slots) + 1e-9), Floor: int(floor*float64(p.slots) + 1e-9),
		}
	}
	for _, k := range p.order {
		add(ShareName{Kind: k.name}, k.used, k.waiting, float64(k.row.Ceiling), float64(k.row.Floor))
	}
	if p.Table == nil {
		return ordered(uses)
	}
	for _, r := range p.Table.Rows {
		if p.kinds[r.Kind] == nil {
			add(ShareName{Kind: r.Kind}, 0, 0, float64(r.Ceiling), float64(r.Floor))
		}
	}
	for _, r := range p.Table.Teams {
		add(ShareName{Team: r.Team}, p.teams[r.Team], p.waits[r.Team], float64(r.Quota), 0)
	}
	return ordered(uses)
}

func ordered(m map[ShareName]Usage) []Usage {
	return slices.SortedFunc(maps.Values(m), func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Team, b.Team))
	})
}

package interfere

import (
	"slices"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// kindShares returns the total share of each kind on the host.
func (c *Controller) kindShares() Shares {
	s := make(Shares)
	for _, l := range c.loads {
		s[l.Kind] += l.Share
	}
	return s
}

// likelyAggressor returns the kind that most likely interferes with victim: the one
// with the highest learned interference, or else the one with the largest share.
func (c *Controller) likelyAggressor(victim fleet.Kind, colocated Shares) (best fleet.Kind, ok bool) {
	highest := 0.0
	for _, k := range c.throttleableKinds() {
		if k == victim {
			continue
		}
		// The learned interference takes precedence over the share.
		v := c.Model.Interference(c.now, victim, k, colocated[k]) + colocated[k]/100
		if v > highest {
			highest = v
			best = k
			ok = true
		}
	}
	return best, ok
}

// throttleableKinds returns the kinds that may be throttled, sorted.
func (c *Controller) throttleableKinds() []fleet.Kind {
	var out []fleet.Kind
	for _, l := range c.loads {
		if !l.Service {
			out = append(out, l.Kind)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// escalatedKinds returns the kinds with an escalation above NoAction, sorted.
func (c *Controller) escalatedKinds() []fleet.Kind {
	var out []fleet.Kind
	for k := range c.escalations {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// cheapestToMove returns the attempt of a kind that loses the least work by being
// moved: the one with the latest checkpoint.
func (c *Controller) cheapestToMove(k fleet.Kind) (best Load, ok bool) {
	for _, l := range c.loads {
		if l.Kind != k || l.Service {
			continue
		}
		if !ok || l.LastCheckpoint.After(best.LastCheckpoint) {
			best = l
			ok = true
		}
	}
	return best, ok
}

package interfere

import (
	"slices"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// beside sums the shares of the kinds on the host.
func (c *Controller) beside() Shares {
	s := make(Shares)
	for _, l := range c.loads {
		s[l.Kind] += l.Share
	}
	return s
}

// disturber returns the kind that most likely disturbs victim: by what was
// learned, else by what uses most.
func (c *Controller) disturber(victim fleet.Kind, beside Shares) (best fleet.Kind, ok bool) {
	most := 0.0
	for _, k := range c.kinds() {
		if k == victim {
			continue
		}
		// What was learned counts before what is only used.
		v := c.Model.Interference(c.now, victim, k, beside[k]) + beside[k]/100
		if v > most {
			most = v
			best = k
			ok = true
		}
	}
	return best, ok
}

// kinds returns the kinds that may be throttled, in order.
func (c *Controller) kinds() []fleet.Kind {
	var out []fleet.Kind
	for _, l := range c.loads {
		if !l.Service {
			out = append(out, l.Kind)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// measured returns the kinds against which there are measures, in order.
func (c *Controller) measured() []fleet.Kind {
	var out []fleet.Kind
	for k := range c.measures {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// cheapest returns the attempt of a kind that loses least by moving.
func (c *Controller) cheapest(k fleet.Kind) (best Load, ok bool) {
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

package interfere

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// minShare is the smallest share of an aggressor that counts.
const minShare = 0.01

// Observe updates the model with one window of a task of the victim: its group, its
// tail latency and the shares of the aggressors beside it.
func (c *OccupancyModel[G]) Observe(now time.Time, victim fleet.Kind, g G, tail time.Duration, shares Shares) {
	if tail <= 0 {
		return
	}
	n, load := c.advance(now, victim, g, tail)
	weights := c.terms(n, shares)
	terms := append(slices.Clip(weights), term{load.row, 1})
	occupancy, noise := n.measure(tail)
	switch {
	case occupancy >= SaturatedOccupancy:
		// A saturated tail latency gives only a lower bound. It must not change what
		// is known of aggressors that aren't beside the task.
		if n.filter.predict(terms) < occupancy {
			n.filter.updateRows(rowsOf(terms), terms, occupancy, noise)
		}
	case n.filter.variance(weights) < knownVariance:
		// The weights are known, so that only the load is left to learn. The cost of an
		// update of all variables grows with the square of the number of groups.
		n.filter.updateRows([]int{load.row, load.row + 1}, terms, occupancy, noise)
	default:
		n.filter.update(terms, occupancy, noise)
	}
}

// Explains reports whether the load of a group and the shares of the aggressors beside
// one of its tasks can have caused a tail latency, as far as the model knows.
func (c *OccupancyModel[G]) Explains(now time.Time, victim fleet.Kind, g G, tail time.Duration, shares Shares) bool {
	if tail <= 0 {
		return true
	}
	n, load := c.advance(now, victim, g, tail)
	terms := append(c.terms(n, shares), term{load.row, 1})
	occupancy, noise := n.measure(tail)
	return occupancy-n.filter.predict(terms) <= limit(n.filter.variance(terms)+noise)
}

// advance returns the model of a victim and the load of a group at now.
func (c *OccupancyModel[G]) advance(now time.Time, victim fleet.Kind, g G, tail time.Duration) (*victimModel[G], *groupLoad) {
	c.ObserveIdle(victim, tail)
	n := c.victim(victim)
	n.age(now)
	return n, n.load(now, g)
}

// measure returns the occupancy at a tail latency, and the variance of its noise.
func (n *victimModel[G]) measure(tail time.Duration) (occupancy, noise float64) {
	occupancy = n.occupancy(tail)
	d := tailNoise * (1 - occupancy)
	return occupancy, modelNoise*modelNoise + d*d
}

func rowsOf(terms []term) []int {
	var rows []int
	for _, x := range terms {
		rows = append(rows, x.row)
	}
	return rows
}

// ObserveIdle takes in a tail latency that may be the lowest one of the victim. A task
// that has just started shows it best, as its own load is still to come.
func (c *OccupancyModel[G]) ObserveIdle(victim fleet.Kind, tail time.Duration) {
	n := c.victim(victim)
	if tail > 0 && (n.idleTail == 0 || tail < n.idleTail) {
		n.idleTail = tail
	}
}

// terms returns the aggressors of a task with their shares, in a fixed order.
func (c *OccupancyModel[G]) terms(n *victimModel[G], shares Shares) []term {
	var out []term
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		if shares[k] < minShare {
			continue
		}
		row, ok := n.rows[k]
		if !ok {
			if len(n.rows) >= maxAggressors {
				continue
			}
			row = c.addAggressor(n, k)
		}
		out = append(out, term{row, shares[k]})
	}
	return out
}

// age lets the weights become less certain until now, up to what the prior says.
func (n *victimModel[G]) age(now time.Time) {
	if !n.observedAt.IsZero() && now.After(n.observedAt) {
		v := weightNoise * weightNoise * now.Sub(n.observedAt).Seconds()
		for _, i := range n.rows {
			p := &n.filter.covariance[i][i]
			*p = max(*p, min(*p+v, priorDeviation*priorDeviation))
		}
	}
	n.observedAt = now
}

// load returns the load of a group, advanced to now.
func (n *victimModel[G]) load(now time.Time, g G) *groupLoad {
	l := n.groups[g]
	switch {
	case l == nil:
		n.forgetGroups(now)
		l = &groupLoad{row: n.filter.addRow(priorLoad, priorLoadVariance)}
		n.filter.addRow(0, priorSlopeVariance)
		n.groups[g] = l
	case now.Sub(l.at) >= groupRetention:
		n.filter.resetRow(l.row, priorLoad, priorLoadVariance)
		n.filter.resetRow(l.row+1, 0, priorSlopeVariance)
	case now.After(l.at):
		n.filter.advance(l.row, now.Sub(l.at), slopeNoise)
	}
	l.at = now
	return l
}

// groupRetention is how long a load is remembered without observations: it swings
// within as many seconds.
const groupRetention = 10 * time.Second

// forgetGroups removes the groups without recent observations.
func (n *victimModel[G]) forgetGroups(now time.Time) {
	for g, l := range n.groups {
		if now.Sub(l.at) < groupRetention {
			continue
		}
		delete(n.groups, g)
		n.filter.removeRows(l.row, 2)
		for _, o := range n.groups {
			if o.row > l.row {
				o.row -= 2
			}
		}
		for k, i := range n.rows {
			if i > l.row {
				n.rows[k] = i - 2
			}
		}
	}
}

// Load returns the load that a group of the victim's tasks is expected to have in d,
// and whether it was observed lately.
func (c *OccupancyModel[G]) Load(now time.Time, victim fleet.Kind, g G, d time.Duration) (float64, bool) {
	n := c.victims[victim]
	if n == nil {
		return 0, false
	}
	l := n.groups[g]
	if l == nil || now.Sub(l.at) > maxLoadAge {
		return 0, false
	}
	f := n.filter.mean
	return f[l.row] + f[l.row+1]*(now.Sub(l.at)+d).Seconds(), true
}

package admit

import "time"

// startCooldown starts the cooldown of a kind whose exact ceiling is below one permit, after
// a request that ran for used. The kind starts nothing until its mean use of permits, the
// run and the cooldown together, is down to the exact ceiling.
func (q *Queue) startCooldown(now, used time.Duration) {
	if q.exactCeiling <= 0 || q.exactCeiling >= 1 {
		return
	}
	q.coolingDown = true
	q.cooldownEnd = now + time.Duration(float64(used)*(1/q.exactCeiling-1))
}

// cooldownLeft returns the remaining cooldown of q.
func (q *Queue) cooldownLeft(now time.Duration) time.Duration {
	if !q.coolingDown {
		return 0
	}
	return max(0, q.cooldownEnd-now)
}

// endCooldowns ends the cooldowns that have expired, and those of kinds whose exact
// ceiling has risen to one permit or more.
func (c *controller) endCooldowns(now time.Duration) {
	for _, q := range c.queues {
		if q.coolingDown && (now >= q.cooldownEnd || q.exactCeiling >= 1) {
			q.coolingDown = false
		}
	}
}

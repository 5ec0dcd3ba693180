package admit

import "time"

// rest keeps a kind whose ceiling is less than one permit from starting until
// its mean use is back at its share, after a request that ran for used.
func (q *Queue) rest(now, used time.Duration) {
	if q.share <= 0 || q.share >= 1 {
		return
	}
	q.resting = true
	q.restEnd = now + time.Duration(float64(used)*(1/q.share-1))
}

// restLeft returns how long q rests from now on.
func (q *Queue) restLeft(now time.Duration) time.Duration {
	if !q.resting {
		return 0
	}
	return max(0, q.restEnd-now)
}

// endRests lets the kinds start again whose rest is over.
func (c *controller) endRests(now time.Duration) {
	for _, q := range c.queues {
		if q.resting && (now >= q.restEnd || q.share >= 1) {
			q.resting = false
		}
	}
}

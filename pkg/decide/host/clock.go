package host

import (
	"slices"
	"time"
)

// leaseClock advances by the larger of the wall clock's and the monotonic
// clock's progress, so that a lease holds only while both clocks are within it:
// the monotonic clock stops while the host is suspended, and the wall clock may
// be set back. No two reads are equal, so that a lease requested before an
// attempt was reserved again differs from one requested afterwards.
type leaseClock struct {
	last time.Time
	now  time.Time
}

// read advances the lease clock to now and returns its time, which has no
// monotonic reading.
func (c *leaseClock) read(now time.Time) time.Time {
	if c.last.IsZero() {
		c.now = now.Round(0)
	} else {
		c.now = c.now.Add(max(now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)), 1))
	}
	c.last = now
	return c.now
}

// recordLeaseRequest records the current time as the start of a possible lease.
func (m *Machine) recordLeaseRequest() {
	if n := len(m.leaseRequests); n == 0 || !m.leaseRequests[n-1].Equal(m.now) {
		m.leaseRequests = append(m.leaseRequests, m.now)
	}
}

// madeLeaseRequest reports whether this incarnation of the agent requested leases
// at t. The lease clock of an earlier incarnation has another start.
func (m *Machine) madeLeaseRequest(t time.Time) bool {
	_, ok := slices.BinarySearchFunc(m.leaseRequests, t, time.Time.Compare)
	return ok
}

// dropExpiredLeaseRequests removes the request times whose leases would have expired.
func (m *Machine) dropExpiredLeaseRequests() {
	cutoff := m.now.Add(-m.Lease)
	m.leaseRequests = slices.DeleteFunc(m.leaseRequests, func(t time.Time) bool { return t.Before(cutoff) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

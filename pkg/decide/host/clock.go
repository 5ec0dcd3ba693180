package host

import (
	"slices"
	"time"
)

// A leaseClock advances by the larger of what the wall clock and the
// monotonic clock show, so that a lease holds only while both are inside it:
// the monotonic clock stands still while the whole host is suspended, and the
// wall clock may be set back. No two reads are equal, so that a lease asked for
// before an attempt was reserved again is told from one asked for since.
type leaseClock struct {
	last time.Time
	now  time.Time
}

// read returns the time of the lease clock, which has no monotonic reading.
func (c *leaseClock) read(now time.Time) time.Time {
	if c.last.IsZero() {
		c.now = now.Round(0)
	} else {
		c.now = c.now.Add(max(now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)), 1))
	}
	c.last = now
	return c.now
}

// noteAsked remembers that a lease may be granted from now on.
func (m *Machine) noteAsked() {
	if n := len(m.asked); n == 0 || !m.asked[n-1].Equal(m.now) {
		m.asked = append(m.asked, m.now)
	}
}

// hasAsked reports whether this life of the agent asked at t: an earlier life
// counted its times from another start.
func (m *Machine) hasAsked(t time.Time) bool {
	_, ok := slices.BinarySearchFunc(m.asked, t, time.Time.Compare)
	return ok
}

// dropAsked forgets the times from which no lease would still hold.
func (m *Machine) dropAsked() {
	old := m.now.Add(-m.Lease)
	m.asked = slices.DeleteFunc(m.asked, func(t time.Time) bool { return t.Before(old) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

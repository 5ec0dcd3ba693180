package succession

import (
	"iter"
	"time"
)

const (
	// Fresh is how old the store's last answer may be without asking whether
	// others have newer ones: the lease of the lead, which nobody takes before its end.
	Fresh = 1200 * time.Millisecond
	// rideThrough is how long a scheduler goes on while the store is away for all.
	rideThrough = 8 * time.Second
	// outageSpread is how much later than a scheduler another process may have had
	// its last answer when the store goes away for all: a renewal and the slowest link apart.
	outageSpread = 600 * time.Millisecond
	// heardEvery is how often a process is heard at least, with the slowest link.
	heardEvery = 600 * time.Millisecond
	// Silence is how long a process may be silent until it's given up; three pings fit.
	Silence = 2 * time.Second
	// superseding is how much newer than a scheduler's own last answer another
	// process's has to be for it to give up: several of its renewals come in between.
	superseding = time.Second
)

// A Tenure is what a scheduler knows of its term. The times of others are only
// read where its own aren't enough.
type Tenure struct {
	// Answered is when the store answered the scheduler last.
	Answered time.Time
	// Others is when it answered the other processes last, as far as they told.
	Others iter.Seq[time.Time]
	// Lost is when the processes that aren't in touch any more were heard last.
	Lost iter.Seq[time.Time]
}

// Holds reports whether no other term can have begun by now, whatever happened
// to the store: the lease that the store answered lately goes on.
func Holds(now, answered time.Time) bool { return now.Sub(answered) < Fresh }

// Newest reports whether no other term can have begun, as far as the scheduler
// can tell: it reached the store lately, or the store is away for all. Only
// then it may grant leases and take those of lost hosts for over.
func (t Tenure) Newest(now time.Time) bool {
	switch {
	case Holds(now, t.Answered):
		return true
	case now.Sub(t.Answered) > rideThrough:
		return false
	}
	for at := range t.Others {
		if at.Sub(t.Answered) > outageSpread {
			return false
		}
	}
	// A process that fell silent together with the store may be the one that
	// reaches it. One that was heard for longer met the outage too.
	for at := range t.Lost {
		if after := at.Sub(t.Answered); after > -Silence && after < outageSpread+heardEvery {
			return false
		}
	}
	return true
}

// Superseded reports whether others reach the store and the scheduler doesn't,
// and when it answered one of them.
func (t Tenure) Superseded(now time.Time) (time.Time, bool) {
	if now.Sub(t.Answered) < Fresh {
		return time.Time{}, false
	}
	for at := range t.Others {
		if at.Sub(t.Answered) > superseding {
			return at, true
		}
	}
	return time.Time{}, false
}

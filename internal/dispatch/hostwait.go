package dispatch

import (
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
)

// hostWaitEnd returns when the leases of all earlier terms have ended.
func (d *Dispatcher) hostWaitEnd() time.Time {
	if d.earlierLeasesEnd.After(d.previousLeasesEnd) {
		return d.earlierLeasesEnd
	}
	return d.previousLeasesEnd
}

// endPreviousTerm shortens the wait for hosts once the previous scheduler has opened a session
// in this term, and so grants no leases any more.
func (d *Dispatcher) endPreviousTerm(now time.Time) {
	end := now.Add(MaxLeaseDuration)
	if d.scheduler.Recovered() || !d.previousLeasesEnd.After(end) {
		return
	}
	before := d.hostWaitEnd()
	d.previousLeasesEnd = end
	for name := range d.awaitedHosts {
		if d.hostLeaseEnds[name].Equal(before) {
			d.hostLeaseEnds[name] = d.hostWaitEnd()
		}
	}
	d.Log.Event(eventlog.HostWaitShortened).Dur("by", before.Sub(d.hostWaitEnd())).Msg("")
}

package intake

import (
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/telemetry"
)

// reportInterval is the shortest time between two log lines for one reason, as a crowd of
// clients reaches a limit thousands of times a second.
const reportInterval = 10 * time.Second

// A Reporter counts and logs how often clients reach the limits.
type Reporter struct {
	Log *eventlog.Log

	mu      sync.Mutex
	reasons map[Reason]*reported
}

// reported is what was reported about one reason.
type reported struct {
	last time.Time
	// unlogged counts since the last log line.
	unlogged int
}

// Report counts that a client has reached a limit, and logs it at most once per reportInterval.
func (r *Reporter) Report(reason Reason) {
	r.Log.Metrics.Increment(telemetry.ClientLimits, "reason", string(reason))
	if n := r.due(reason, time.Now()); n > 0 {
		r.Log.Warning(eventlog.ClientLimited).Str("why", string(reason)).Int("times", n).Msg("")
	}
}

// due counts a report and returns how many the log line that is due stands for; 0 if none is.
func (r *Reporter) due(reason Reason, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reasons == nil {
		r.reasons = map[Reason]*reported{}
	}
	x := r.reasons[reason]
	if x == nil {
		x = &reported{}
		r.reasons[reason] = x
	}
	x.unlogged++
	if !x.last.IsZero() && now.Sub(x.last) < reportInterval {
		return 0
	}
	n := x.unlogged
	x.last, x.unlogged = now, 0
	return n
}

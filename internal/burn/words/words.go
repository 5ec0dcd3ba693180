// Package words puts the values of a burn report into words, the same ones for
// the terminal and for the page.
package words

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// NoData stands for what cannot be told because nothing was counted.
const NoData = "no data"

// Burn returns a burn rate in words; nil is no data, never 0.
func Burn(b *float64) string {
	switch {
	case b == nil:
		return NoData
	case *b > 0 && *b < 0.01:
		return "<0.01"
	case *b >= 100:
		return strconv.FormatFloat(*b, 'f', 0, 64)
	default:
		return strconv.FormatFloat(*b, 'f', 2, 64)
	}
}

// Duration returns d without its zero parts, such as 1h or 5m.
func Duration(d time.Duration) string {
	if d >= time.Second {
		d = d.Round(100 * time.Millisecond)
	} else {
		d = d.Round(100 * time.Microsecond)
	}
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Quantile returns a latency, or no data for nil.
func Quantile(d *time.Duration) string {
	if d == nil {
		return NoData
	}
	return Duration(*d)
}

// Share returns a share in percent.
func Share(s table.Share) string {
	return strconv.FormatFloat(float64(s)*100, 'g', 6, 64) + "%"
}

// Objective returns what the kind is held to.
func Objective(k burn.KindReport) string {
	switch {
	case k.Target <= 0:
		return "no target"
	case k.Objective <= 0:
		return Share(k.Target)
	default:
		return Share(k.Target) + " in " + Duration(k.Objective)
	}
}

// Alert returns when an alert fires.
func Alert(a burn.Alert) string {
	return fmt.Sprintf("%s at a burn rate of %g over %s and %s", a.Name, a.Rate, Duration(a.Long), Duration(a.Short))
}

// Coverage returns a window with the time that it really holds.
func Coverage(w, age time.Duration) string {
	if age >= w {
		return Duration(w)
	}
	return fmt.Sprintf("%s (has %s)", Duration(w), Duration(age.Round(time.Second)))
}

// DistinctWindows returns the windows that hold different counts: where all processes
// are younger than several windows, only the shortest of these.
func DistinctWindows(w []burn.WindowReport, age time.Duration) []burn.WindowReport {
	for i := range w {
		if w[i].Window >= age {
			return w[:i+1]
		}
	}
	return w
}

var signals = map[burn.Signal][2]string{
	burn.LatencySignal:       {"late answers", "answered later than the objective, of all answers"},
	burn.RefusalsSignal:      {"all refusals", "callers told “not run”, of all callers told an outcome"},
	burn.UnknownSignal:       {"unknown outcomes", "callers told that the outcome is unknown, of all callers told an outcome"},
	burn.FloorRefusalsSignal: {"refusals under the floor", "refused by an agent whose use of the kind was under its floor, of all that came while it was"},
	burn.FloorsSignal:        {"floors not kept", "refused, or queued past the objective, under the floor"},
}

// SignalName returns the name of a signal.
func SignalName(s burn.Signal) string { return signals[s][0] }

// SignalMeaning returns what a signal counts.
func SignalMeaning(s burn.Signal) string { return signals[s][1] }

// State returns the state of an alert.
func State(s burn.State) string {
	switch s {
	case burn.StateNoData:
		return NoData
	case burn.StateNoObjective:
		return "no objective"
	default:
		return string(s)
	}
}

// UnansweredProcesses returns how many of the processes did not answer, as in 1 of 8.
func UnansweredProcesses(r burn.Report) string {
	n := 0
	for _, p := range r.Processes {
		if p.Error != "" {
			n++
		}
	}
	s := fmt.Sprintf("%d of %d processes did not answer", n, len(r.Processes))
	if r.ProcessesWithoutAddress > 0 {
		s += fmt.Sprintf(", and at least %d in other data centres are not known by address here", r.ProcessesWithoutAddress)
	}
	return s
}

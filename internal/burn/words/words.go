// Package words formats the values of a burn report for the terminal and the HTML
// page, so that both show the same texts.
package words

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// NoData is shown in place of values without counts.
const NoData = "no data"

// Burn formats a burn rate; nil is shown as NoData, never as 0.
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

// Duration formats d without trailing zero units, such as 1h or 5m.
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

// Quantile formats a latency; nil is shown as NoData.
func Quantile(d *time.Duration) string {
	if d == nil {
		return NoData
	}
	return Duration(*d)
}

// Share formats a share in percent.
func Share(s table.Share) string {
	return strconv.FormatFloat(float64(s)*100, 'g', 6, 64) + "%"
}

// Objective formats the target and the latency objective of a kind.
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

// Alert describes the condition under which an alert fires.
func Alert(a burn.Alert) string {
	return fmt.Sprintf("%s at a burn rate of %g over %s and %s", a.Name, a.Rate, Duration(a.Long), Duration(a.Short))
}

// Coverage formats the length of a window and, if the counts are younger than the
// window, the time that they cover.
func Coverage(w, age time.Duration) string {
	if age >= w {
		return Duration(w)
	}
	return fmt.Sprintf("%s (has %s)", Duration(w), Duration(age.Round(time.Second)))
}

// DistinctWindows returns the windows that hold different counts. Of the windows that
// are at least as long as age, only the shortest is included.
func DistinctWindows(w []burn.WindowReport, age time.Duration) []burn.WindowReport {
	for i := range w {
		if w[i].Window >= age {
			return w[:i+1]
		}
	}
	return w
}

// signalTexts holds the name and the explanation of each signal.
var signalTexts = map[burn.Signal][2]string{
	burn.LatencySignal:       {"late answers", "answered later than the objective, of all answers"},
	burn.RefusalsSignal:      {"all refusals", "callers told “not run”, of all callers told an outcome"},
	burn.UnknownSignal:       {"unknown outcomes", "callers told that the outcome is unknown, of all callers told an outcome"},
	burn.FloorRefusalsSignal: {"refusals under the floor", "refused by an agent whose use of the kind was under its floor, of all that came while it was"},
	burn.FloorsSignal:        {"floors not kept", "refused, or queued past the objective, under the floor"},
}

// SignalName returns the displayed name of a signal.
func SignalName(s burn.Signal) string { return signalTexts[s][0] }

// SignalMeaning returns the explanation of a signal.
func SignalMeaning(s burn.Signal) string { return signalTexts[s][1] }

// State formats the state of an alert.
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

// UnansweredProcesses describes how many processes did not answer or are not known
// by address.
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

package page

import (
	"fmt"
	"strconv"
	"time"

	"github.com/sesamestream/sesamestream/internal/burn/words"
	"github.com/sesamestream/sesamestream/pkg/burn"
)

// leastPoints is how many points a chart shows at least.
const leastPoints = 6

// charts returns the plots of one kind.
func charts(r burn.Report, k burn.KindReport) []chart {
	d := drawing{report: r, kind: k, points: recent(r, k.Series)}
	for _, p := range d.points {
		d.times = append(d.times, p.At)
	}
	return []chart{d.burns(), d.latency(), d.outcomes(), d.floors()}
}

// recent drops the points from before anything was counted.
func recent(r burn.Report, s []burn.SeriesPoint) []burn.SeriesPoint {
	n := max(leastPoints, int(r.Age/r.Step)+1)
	return s[max(0, len(s)-n):]
}

// A drawing is the plots of one kind in the making.
type drawing struct {
	report burn.Report
	kind   burn.KindReport
	points []burn.SeriesPoint
	times  []time.Time
}

// collect returns one value for each point.
func collect[T any](d drawing, f func(burn.SeriesPoint) T) []T {
	out := make([]T, len(d.points))
	for i, p := range d.points {
		out[i] = f(p)
	}
	return out
}

// chartSignals are the signals of the plot of burn rates with their colours.
var chartSignals = []struct {
	signal burn.Signal
	class  string
}{
	{burn.LatencySignal, "late"},
	{burn.RefusalsSignal, "refused"},
	{burn.UnknownSignal, "unknown"},
	{burn.FloorsSignal, "floors"},
}

// burnLabels are the values named on the axis of burn rates.
var burnLabels = []float64{0, 1, 3, 10, 30, 100, 300, 1000, 10_000, 100_000, 1_000_000}

func (d drawing) burns() chart {
	most := 1.0
	for _, a := range d.report.Alerts {
		most = max(most, a.Rate*1.3)
	}
	for _, p := range d.points {
		for _, b := range p.Burns {
			if b.Burn != nil {
				most = max(most, *b.Burn*1.1)
			}
		}
	}
	var labels []float64
	for _, v := range burnLabels {
		if v <= most {
			labels = append(labels, v)
		}
	}
	short := words.Duration(d.report.Alerts[0].Short)
	f := newFrame("Burn rate", "over the last "+short+" at each time; at 1 the budget is just spent",
		d.times, logarithmic(most), labels, number)
	for _, a := range d.report.Alerts {
		f.rule("threshold", fmt.Sprintf("%s %g", a.Name, a.Rate), a.Rate)
	}
	for _, s := range chartSignals {
		f.line(s.class, words.SignalName(s.signal), collect(d, func(p burn.SeriesPoint) *float64 { return burnOf(p, s.signal) }))
	}
	return f.chart
}

func burnOf(p burn.SeriesPoint, s burn.Signal) *float64 {
	for _, b := range p.Burns {
		if b.Signal == s {
			return b.Burn
		}
	}
	return nil
}

func (d drawing) latency() chart {
	most := d.kind.Objective.Seconds() * 1.1
	for _, p := range d.points {
		if p.P99 != nil {
			most = max(most, p.P99.Seconds())
		}
	}
	labels := nice(most)
	f := newFrame("Latency", "of the answers of each "+words.Duration(d.report.Step),
		d.times, linear(labels[len(labels)-1]), labels, seconds)
	if d.kind.Objective > 0 {
		f.rule("threshold", "objective", d.kind.Objective.Seconds())
	}
	f.line("median", "p50", collect(d, func(p burn.SeriesPoint) *float64 { return secondsOf(p.P50) }))
	f.line("late", "p99", collect(d, func(p burn.SeriesPoint) *float64 { return secondsOf(p.P99) }))
	return f.chart
}

func (d drawing) outcomes() chart {
	most := 0.0
	for _, p := range d.points {
		most = max(most, d.perSecond(p.Outcomes()))
	}
	labels := nice(most)
	f := newFrame("What callers were told", "outcomes a second in each "+words.Duration(d.report.Step),
		d.times, linear(labels[len(labels)-1]), labels, number)
	f.bars([]part{
		{"good", "answered in time", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.Answered - p.Late) })},
		{"late", "answered late", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.Late) })},
		{"refused", "refused", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.NotRun) })},
		{"unknown", "unknown", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.Unknown) })},
	})
	return f.chart
}

func (d drawing) floors() chart {
	most := 0.0
	for _, p := range d.points {
		most = max(most, d.perSecond(p.FloorAsked))
	}
	labels := nice(most)
	f := newFrame("Requests under the floor", "a second, at agents using less than the floor",
		d.times, linear(labels[len(labels)-1]), labels, number)
	f.bars([]part{
		{"good", "started", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.FloorAsked - p.FloorRefused - p.FloorLate) })},
		{"late", "queued past the objective", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.FloorLate) })},
		{"refused", "refused", collect(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.FloorRefused) })},
	})
	return f.chart
}

func (d drawing) perSecond(n uint64) float64 {
	return float64(n) / d.report.Step.Seconds()
}

// number returns v with three digits or as a whole number, never with an exponent.
func number(v float64) string {
	if v >= 100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func seconds(v float64) string {
	return words.Duration(time.Duration(v * float64(time.Second)))
}

func secondsOf(d *time.Duration) *float64 {
	if d == nil {
		return nil
	}
	s := d.Seconds()
	return &s
}

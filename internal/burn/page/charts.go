package page

import (
	"fmt"
	"strconv"
	"time"

	"github.com/sesamestream/sesamestream/internal/burn/words"
	"github.com/sesamestream/sesamestream/pkg/burn"
)

// minPoints is the minimum number of points of a chart.
const minPoints = 6

// charts returns the charts of one kind.
func charts(r burn.Report, k burn.KindReport) []chart {
	d := kindCharts{report: r, kind: k, points: countedPoints(r, k.Series)}
	for _, p := range d.points {
		d.times = append(d.times, p.At)
	}
	return []chart{d.burns(), d.latency(), d.outcomes(), d.floors()}
}

// countedPoints returns the points of s since counting began, but at least minPoints.
func countedPoints(r burn.Report, s []burn.SeriesPoint) []burn.SeriesPoint {
	n := max(minPoints, int(r.Age/r.Step)+1)
	return s[max(0, len(s)-n):]
}

// kindCharts builds the charts of one kind.
type kindCharts struct {
	report burn.Report
	kind   burn.KindReport
	points []burn.SeriesPoint
	times  []time.Time
}

// mapPoints returns the value of f for each point.
func mapPoints[T any](d kindCharts, f func(burn.SeriesPoint) T) []T {
	out := make([]T, len(d.points))
	for i, p := range d.points {
		out[i] = f(p)
	}
	return out
}

// chartSignals are the signals of the chart of burn rates with their CSS classes.
var chartSignals = []struct {
	signal burn.Signal
	class  string
}{
	{burn.LatencySignal, "late"},
	{burn.RefusalsSignal, "refused"},
	{burn.UnknownSignal, "unknown"},
	{burn.FloorsSignal, "floors"},
}

// burnLabels are the labelled values on the axis of burn rates.
var burnLabels = []float64{0, 1, 3, 10, 30, 100, 300, 1000, 10_000, 100_000, 1_000_000}

// burns returns the chart of burn rates.
func (d kindCharts) burns() chart {
	maximum := 1.0
	for _, a := range d.report.Alerts {
		maximum = max(maximum, a.Rate*1.3)
	}
	for _, p := range d.points {
		for _, b := range p.Burns {
			if b.Burn != nil {
				maximum = max(maximum, *b.Burn*1.1)
			}
		}
	}
	var labels []float64
	for _, v := range burnLabels {
		if v <= maximum {
			labels = append(labels, v)
		}
	}
	short := words.Duration(d.report.Alerts[0].Short)
	f := newChartBuilder("Burn rate", "over the last "+short+" at each time; at 1 the budget is just spent",
		d.times, logarithmic(maximum), labels, formatNumber)
	for _, a := range d.report.Alerts {
		f.addRule("threshold", fmt.Sprintf("%s %g", a.Name, a.Rate), a.Rate)
	}
	for _, s := range chartSignals {
		f.addLine(s.class, words.SignalName(s.signal), mapPoints(d, func(p burn.SeriesPoint) *float64 { return burnRate(p, s.signal) }))
	}
	return f.chart
}

// burnRate returns the burn rate of signal s at p, or nil if there is none.
func burnRate(p burn.SeriesPoint, s burn.Signal) *float64 {
	for _, b := range p.Burns {
		if b.Signal == s {
			return b.Burn
		}
	}
	return nil
}

// latency returns the chart of latency quantiles.
func (d kindCharts) latency() chart {
	maximum := d.kind.Objective.Seconds() * 1.1
	for _, p := range d.points {
		if p.P99 != nil {
			maximum = max(maximum, p.P99.Seconds())
		}
	}
	labels := axisValues(maximum)
	f := newChartBuilder("Latency", "of the answers of each "+words.Duration(d.report.Step),
		d.times, linear(labels[len(labels)-1]), labels, formatSeconds)
	if d.kind.Objective > 0 {
		f.addRule("threshold", "objective", d.kind.Objective.Seconds())
	}
	f.addLine("median", "p50", mapPoints(d, func(p burn.SeriesPoint) *float64 { return secondsOf(p.P50) }))
	f.addLine("late", "p99", mapPoints(d, func(p burn.SeriesPoint) *float64 { return secondsOf(p.P99) }))
	return f.chart
}

// outcomes returns the chart of outcomes reported to callers.
func (d kindCharts) outcomes() chart {
	maximum := 0.0
	for _, p := range d.points {
		maximum = max(maximum, d.perSecond(p.Outcomes()))
	}
	labels := axisValues(maximum)
	f := newChartBuilder("What callers were told", "outcomes a second in each "+words.Duration(d.report.Step),
		d.times, linear(labels[len(labels)-1]), labels, formatNumber)
	f.addBars([]barLayer{
		{"good", "answered in time", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.Answered - p.Late) })},
		{"late", "answered late", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.Late) })},
		{"refused", "refused", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.NotRun) })},
		{"unknown", "unknown", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.Unknown) })},
	})
	return f.chart
}

// floors returns the chart of requests under the floor.
func (d kindCharts) floors() chart {
	maximum := 0.0
	for _, p := range d.points {
		maximum = max(maximum, d.perSecond(p.FloorAsked))
	}
	labels := axisValues(maximum)
	f := newChartBuilder("Requests under the floor", "a second, at agents using less than the floor",
		d.times, linear(labels[len(labels)-1]), labels, formatNumber)
	f.addBars([]barLayer{
		{"good", "started", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.FloorAsked - p.FloorRefused - p.FloorLate) })},
		{"late", "queued past the objective", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.FloorLate) })},
		{"refused", "refused", mapPoints(d, func(p burn.SeriesPoint) float64 { return d.perSecond(p.FloorRefused) })},
	})
	return f.chart
}

// perSecond converts a count of one step to a rate per second.
func (d kindCharts) perSecond(n uint64) float64 {
	return float64(n) / d.report.Step.Seconds()
}

// formatNumber formats v with three digits or as a whole number, without an exponent.
func formatNumber(v float64) string {
	if v >= 100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func formatSeconds(v float64) string {
	return words.Duration(time.Duration(v * float64(time.Second)))
}

func secondsOf(d *time.Duration) *float64 {
	if d == nil {
		return nil
	}
	s := d.Seconds()
	return &s
}

package page

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// The geometry of a chart, in units of its view box.
const (
	chartWidth   = 560
	chartHeight  = 210
	leftMargin   = 52
	rightMargin  = 66
	topMargin    = 10
	bottomMargin = 26
	plotWidth    = chartWidth - leftMargin - rightMargin
	plotHeight   = chartHeight - topMargin - bottomMargin
	// labelHeight keeps the labels of two thresholds apart.
	labelHeight = 13
	// minBarHeight is the minimum height of a bar with a value above 0.
	minBarHeight = 1.5
	// barWidthShare is the share of its step that a bar fills.
	barWidthShare = 0.8
	// timeLabels is the approximate number of labels on the time axis.
	timeLabels = 5
)

// chart is one chart as input of the page template.
type chart struct {
	Title, Note   string
	Width, Height int
	Left, Right   int
	Bottom        float64
	X, Y          []tick
	Lines         []line
	Bars          []bar
	Rules         []rule
	Keys          []legendEntry
	// Empty is set if there are no values to draw.
	Empty bool
}

// tick is a label at a position on an axis.
type tick struct {
	At    float64
	Label string
}

// line is a path with a dot for each value.
type line struct {
	Class, Path string
	Dots        []dot
}

// dot marks one value; Text is its tooltip. Alone is set if neither neighbour has a
// value.
type dot struct {
	X, Y  float64
	Alone bool
	Text  string
}

// bar is one segment of a stacked bar.
type bar struct {
	Class               string
	X, Y, Width, Height float64
	Text                string
}

// rule is a horizontal line at a threshold.
type rule struct {
	Class, Label string
	At, LabelAt  float64
}

// legendEntry is the entry of one colour in the legend.
type legendEntry struct{ Class, Label string }

// scale maps a value to its height above the bottom of the plot, from 0 to 1.
type scale func(float64) float64

// linear returns a linear scale from 0 to maximum.
func linear(maximum float64) scale {
	return func(v float64) float64 { return v / maximum }
}

// logarithmic returns a logarithmic scale from 0 to maximum, on which small and
// large values are both legible.
func logarithmic(maximum float64) scale {
	return func(v float64) float64 { return math.Log1p(v) / math.Log1p(maximum) }
}

// chartBuilder builds a chart.
type chartBuilder struct {
	times  []time.Time
	scale  scale
	format func(float64) string
	chart  chart
}

// newChartBuilder returns a builder with both axes drawn: the times, and labels for
// the given values.
func newChartBuilder(title, note string, times []time.Time, s scale, labels []float64, format func(float64) string) *chartBuilder {
	f := &chartBuilder{times: times, scale: s, format: format}
	f.chart = chart{
		Title: title, Note: note, Width: chartWidth, Height: chartHeight,
		Left: leftMargin, Right: chartWidth - rightMargin, Bottom: topMargin + plotHeight, Empty: true,
	}
	for _, v := range labels {
		f.chart.Y = append(f.chart.Y, tick{At: f.y(v), Label: format(v)})
	}
	f.addTimeLabels()
	return f
}

// addTimeLabels adds the labels of the time axis.
func (f *chartBuilder) addTimeLabels() {
	n := len(f.times)
	layout := "15:04"
	if n > 1 && f.times[n-1].Sub(f.times[0]) < 10*time.Minute {
		layout = "15:04:05"
	}
	every := max(1, (n+timeLabels-1)/timeLabels)
	for i := n - 1; i >= 0; i -= every {
		f.chart.X = append(f.chart.X, tick{At: f.x(i), Label: f.times[i].UTC().Format(layout)})
	}
}

// stepWidth returns the width of one point.
func (f *chartBuilder) stepWidth() float64 {
	return float64(plotWidth) / float64(max(1, len(f.times)))
}

// x returns the horizontal position of point i.
func (f *chartBuilder) x(i int) float64 {
	return roundTenth(leftMargin + (float64(i)+0.5)*f.stepWidth())
}

// y returns the vertical position of the value v.
func (f *chartBuilder) y(v float64) float64 {
	return roundTenth(topMargin + plotHeight*(1-min(1, max(0, f.scale(v)))))
}

// roundTenth rounds v to one decimal.
func roundTenth(v float64) float64 { return math.Round(v*10) / 10 }

// addLine draws a line through the values; nil values leave gaps.
func (f *chartBuilder) addLine(class, label string, values []*float64) {
	l := line{Class: class}
	var path strings.Builder
	for i, v := range values {
		if v == nil {
			continue
		}
		f.chart.Empty = false
		command := "L"
		before := i > 0 && values[i-1] != nil
		after := i+1 < len(values) && values[i+1] != nil
		if !before {
			command = "M"
		}
		fmt.Fprintf(&path, "%s%g %g", command, f.x(i), f.y(*v))
		text := fmt.Sprintf("%s, %s: %s", f.timeOfDay(i), label, f.format(*v))
		l.Dots = append(l.Dots, dot{X: f.x(i), Y: f.y(*v), Alone: !before && !after, Text: text})
	}
	l.Path = path.String()
	f.chart.Lines = append(f.chart.Lines, l)
	f.chart.Keys = append(f.chart.Keys, legendEntry{Class: class, Label: label})
}

// timeOfDay formats the time of point i.
func (f *chartBuilder) timeOfDay(i int) string {
	return f.times[i].UTC().Format("15:04:05")
}

// addRule draws a threshold and moves its label away from those of other thresholds.
func (f *chartBuilder) addRule(class, label string, v float64) {
	y := f.y(v)
	at := y
	for _, r := range f.chart.Rules {
		if math.Abs(r.LabelAt-at) < labelHeight {
			at = r.LabelAt + math.Copysign(labelHeight, y-r.At)
		}
	}
	f.chart.Rules = append(f.chart.Rules, rule{Class: class, Label: label, At: y, LabelAt: at})
}

// barLayer is one layer of stacked bars.
type barLayer struct {
	class, label string
	values       []float64
}

// addBars draws stacked bars with the first layer at the bottom.
func (f *chartBuilder) addBars(layers []barLayer) {
	base := make([]float64, len(f.times))
	for _, p := range layers {
		f.chart.Keys = append(f.chart.Keys, legendEntry{Class: p.class, Label: p.label})
		for i, v := range p.values {
			if v <= 0 {
				continue
			}
			f.chart.Empty = false
			low := f.y(base[i])
			base[i] += v
			high := min(f.y(base[i]), low-minBarHeight)
			f.chart.Bars = append(f.chart.Bars, bar{
				Class: p.class, X: roundTenth(f.x(i) - f.stepWidth()*barWidthShare/2), Y: high,
				Width: roundTenth(f.stepWidth() * barWidthShare), Height: roundTenth(low - high),
				Text: fmt.Sprintf("%s, %s: %s", f.timeOfDay(i), p.label, f.format(v)),
			})
		}
	}
}

// axisValues returns about four round values from 0 up to the first one that is at
// least maximum.
func axisValues(maximum float64) []float64 {
	if maximum <= 0 {
		maximum = 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(maximum/4)))
	for _, m := range []float64{1, 2, 2.5, 5, 10} {
		if unit*m*4 >= maximum {
			unit *= m
			break
		}
	}
	var out []float64
	for v := 0.0; ; v += unit {
		out = append(out, v)
		if v >= maximum {
			return out
		}
	}
}

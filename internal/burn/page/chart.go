package page

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// The geometry of a chart, in units of its view box.
const (
	chartWidth  = 560
	chartHeight = 210
	left        = 52
	right       = 66
	top         = 10
	bottom      = 26
	plotWidth   = chartWidth - left - right
	plotHeight  = chartHeight - top - bottom
	// labelHeight keeps the labels of two thresholds apart.
	labelHeight = 13
	// leastBar is the least height of a bar that stands for something.
	leastBar = 1.5
	// barPart is how much of its step a bar fills.
	barPart = 0.8
	// ticksX is about how many times are written below a chart.
	ticksX = 5
)

// A chart is one plot, ready to be drawn.
type chart struct {
	Title, Note   string
	Width, Height int
	Left, Right   int
	Bottom        float64
	X, Y          []tick
	Lines         []line
	Bars          []bar
	Rules         []rule
	Keys          []key
	// Empty tells that there is nothing to draw.
	Empty bool
}

// A tick is a label at a place of an axis.
type tick struct {
	At    float64
	Label string
}

// A line is a path with a dot for each value that has no neighbour.
type line struct {
	Class, Path string
	Dots        []dot
}

// A dot is one value with the text that is shown when it is pointed at.
type dot struct {
	X, Y  float64
	Alone bool
	Text  string
}

// A bar is one part of a stacked bar.
type bar struct {
	Class               string
	X, Y, Width, Height float64
	Text                string
}

// A rule is a horizontal line at a threshold.
type rule struct {
	Class, Label string
	At, LabelAt  float64
}

// A key explains a colour.
type key struct{ Class, Label string }

// A scale maps values to heights from the bottom of the plot, 0 to 1.
type scale func(float64) float64

// linear is a scale from 0 to most.
func linear(most float64) scale {
	return func(v float64) float64 { return v / most }
}

// logarithmic is a scale from 0 to most which gives small and large values room.
func logarithmic(most float64) scale {
	return func(v float64) float64 { return math.Log1p(v) / math.Log1p(most) }
}

// A frame is an empty chart with its axes.
type frame struct {
	times  []time.Time
	scale  scale
	format func(float64) string
	chart  chart
}

// newFrame returns the frame of a chart over the times, with labels at values.
func newFrame(title, note string, times []time.Time, s scale, labels []float64, format func(float64) string) *frame {
	f := &frame{times: times, scale: s, format: format}
	f.chart = chart{
		Title: title, Note: note, Width: chartWidth, Height: chartHeight,
		Left: left, Right: chartWidth - right, Bottom: top + plotHeight, Empty: true,
	}
	for _, v := range labels {
		f.chart.Y = append(f.chart.Y, tick{At: f.y(v), Label: format(v)})
	}
	f.ticks()
	return f
}

// ticks labels the times.
func (f *frame) ticks() {
	n := len(f.times)
	layout := "15:04"
	if n > 1 && f.times[n-1].Sub(f.times[0]) < 10*time.Minute {
		layout = "15:04:05"
	}
	every := max(1, (n+ticksX-1)/ticksX)
	for i := n - 1; i >= 0; i -= every {
		f.chart.X = append(f.chart.X, tick{At: f.x(i), Label: f.times[i].UTC().Format(layout)})
	}
}

// step is the width of one point.
func (f *frame) step() float64 {
	return float64(plotWidth) / float64(max(1, len(f.times)))
}

func (f *frame) x(i int) float64 {
	return round(left + (float64(i)+0.5)*f.step())
}

func (f *frame) y(v float64) float64 {
	return round(top + plotHeight*(1-min(1, max(0, f.scale(v)))))
}

func round(v float64) float64 { return math.Round(v*10) / 10 }

// line draws the values; nil ones leave a gap.
func (f *frame) line(class, label string, values []*float64) {
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
		text := fmt.Sprintf("%s, %s: %s", f.clock(i), label, f.format(*v))
		l.Dots = append(l.Dots, dot{X: f.x(i), Y: f.y(*v), Alone: !before && !after, Text: text})
	}
	l.Path = path.String()
	f.chart.Lines = append(f.chart.Lines, l)
	f.chart.Keys = append(f.chart.Keys, key{Class: class, Label: label})
}

func (f *frame) clock(i int) string {
	return f.times[i].UTC().Format("15:04:05")
}

// rule draws a threshold.
func (f *frame) rule(class, label string, v float64) {
	y := f.y(v)
	at := y
	for _, r := range f.chart.Rules {
		if math.Abs(r.LabelAt-at) < labelHeight {
			at = r.LabelAt + math.Copysign(labelHeight, y-r.At)
		}
	}
	f.chart.Rules = append(f.chart.Rules, rule{Class: class, Label: label, At: y, LabelAt: at})
}

// A part is one layer of stacked bars.
type part struct {
	class, label string
	values       []float64
}

// bars stacks the parts, the first at the bottom.
func (f *frame) bars(parts []part) {
	base := make([]float64, len(f.times))
	for _, p := range parts {
		f.chart.Keys = append(f.chart.Keys, key{Class: p.class, Label: p.label})
		for i, v := range p.values {
			if v <= 0 {
				continue
			}
			f.chart.Empty = false
			low := f.y(base[i])
			base[i] += v
			high := min(f.y(base[i]), low-leastBar)
			f.chart.Bars = append(f.chart.Bars, bar{
				Class: p.class, X: round(f.x(i) - f.step()*barPart/2), Y: high,
				Width: round(f.step() * barPart), Height: round(low - high),
				Text: fmt.Sprintf("%s, %s: %s", f.clock(i), p.label, f.format(v)),
			})
		}
	}
}

// nice returns about four round values from 0 to at least most, the last one the top.
func nice(most float64) []float64 {
	if most <= 0 {
		most = 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(most/4)))
	for _, m := range []float64{1, 2, 2.5, 5, 10} {
		if unit*m*4 >= most {
			unit *= m
			break
		}
	}
	var out []float64
	for v := 0.0; ; v += unit {
		out = append(out, v)
		if v >= most {
			return out
		}
	}
}

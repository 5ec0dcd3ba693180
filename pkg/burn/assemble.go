package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// Assemble returns the report of a snapshot that answers q, evaluated against the
// objectives of t. It contains all request kinds of t and all kinds with counts.
func Assemble(now time.Time, alerts []Alert, q Query, t *table.Table, s Snapshot) Report {
	r := Report{At: now, Age: s.Age, Dropped: s.Dropped, Alerts: alerts, Step: q.Step}
	if t != nil {
		r.Revision = t.Revision
		s.Kinds = withTableKinds(s.Kinds, t, len(q.Windows))
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		var row table.Row
		if t != nil {
			row, _ = t.Row(k.Kind)
		}
		r.Kinds = append(r.Kinds, reportBuilder{now: now, alerts: alerts, query: q, row: row, counts: k}.kind())
	}
	return r
}

// withTableKinds returns kinds, sorted, with empty counts for the request kinds of
// t that have none.
func withTableKinds(kinds []KindCounts, t *table.Table, windows int) []KindCounts {
	out := slices.Clone(kinds)
	for _, row := range t.Rows {
		seen := slices.ContainsFunc(kinds, func(k KindCounts) bool { return k.Kind == row.Kind })
		if row.Class == table.ClassRequest && !seen {
			out = append(out, KindCounts{Kind: row.Kind, Windows: make([]Counts, windows)})
		}
	}
	slices.SortFunc(out, func(a, b KindCounts) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// reportBuilder builds the report of one kind.
type reportBuilder struct {
	now    time.Time
	alerts []Alert
	query  Query
	row    table.Row
	counts *KindCounts
}

// kind returns the report of the kind.
func (a reportBuilder) kind() KindReport {
	k := KindReport{Kind: a.counts.Kind, Objective: a.row.Objective, Target: a.row.Target, Floor: a.row.Floor}
	for i, w := range a.query.Windows {
		c := &a.counts.Windows[i]
		p50, p99 := quantiles(c)
		k.Windows = append(k.Windows, WindowReport{Window: w, Counts: *c, P50: p50, P99: p99})
	}
	for _, s := range Signals() {
		k.Signals = append(k.Signals, a.signal(s))
	}
	k.Series = a.series()
	return k
}

// signal evaluates all alerts for one signal.
func (a reportBuilder) signal(s Signal) SignalReport {
	out := SignalReport{Signal: s}
	for _, x := range a.alerts {
		r := AlertReport{Name: x.Name, Long: a.reading(s, x.Long), Short: a.reading(s, x.Short)}
		r.State = a.state(s, x, r)
		out.Alerts = append(out.Alerts, r)
	}
	return out
}

// state returns the state of alert x, given its readings.
func (a reportBuilder) state(s Signal, x Alert, r AlertReport) State {
	switch {
	case !a.hasObjective(s):
		return StateNoObjective
	case r.Long.Burn == nil || r.Short.Burn == nil:
		return StateNoData
	case *r.Long.Burn >= x.Rate && *r.Short.Burn >= x.Rate:
		return StateFiring
	default:
		return StateQuiet
	}
}

// hasObjective reports whether the table sets the values against which the signal
// is measured.
func (a reportBuilder) hasObjective(s Signal) bool {
	_, ok := Budget(a.row.Target)
	return ok && (s != LatencySignal || a.row.Objective > 0)
}

// reading returns the misses and the burn rate of a signal over one window.
func (a reportBuilder) reading(s Signal, w time.Duration) Reading {
	c := &a.counts.Windows[slices.Index(a.query.Windows, w)]
	bad, total := c.Misses(s)
	return Reading{Window: w, Bad: bad, Total: total, Burn: a.burnRate(s, c)}
}

// burnRate returns the burn rate of c, or nil without an objective or data.
func (a reportBuilder) burnRate(s Signal, c *Counts) *float64 {
	if !a.hasObjective(s) {
		return nil
	}
	bad, total := c.Misses(s)
	budget, _ := Budget(a.row.Target)
	r, ok := Rate(bad, total, budget)
	if !ok {
		return nil
	}
	return &r
}

// series returns the points whose trailing short window lies within the query, the
// oldest first.
func (a reportBuilder) series() []SeriesPoint {
	steps := make([]Counts, a.query.Points)
	for _, p := range a.counts.Points {
		steps[p.Index] = p.Counts
	}
	short := shortWindowSteps(a.alerts[0], a.query.Step)
	var out []SeriesPoint
	for i := len(steps) - short; i >= 0; i-- {
		var sum Counts
		for j := range short {
			sum.Add(&steps[i+j])
		}
		out = append(out, a.point(i, &steps[i], &sum))
	}
	return out
}

// point returns the series point of a step; its burn rates are of sum, the counts
// of the short window that ends with the step.
func (a reportBuilder) point(index int, step, sum *Counts) SeriesPoint {
	newest := time.Unix(0, bucketNumber(a.now)*int64(BucketWidth)).UTC()
	p := SeriesPoint{At: newest.Add(-time.Duration(index) * a.query.Step), Counts: *step}
	p.P50, p.P99 = quantiles(step)
	for _, s := range Signals() {
		p.Burns = append(p.Burns, SignalBurn{Signal: s, Burn: a.burnRate(s, sum)})
	}
	return p
}

func quantiles(c *Counts) (p50, p99 *time.Duration) {
	return quantile(c.Latency, 0.5), quantile(c.Latency, 0.99)
}

func quantile(l LatencyHistogram, q float64) *time.Duration {
	d, ok := l.Quantile(q)
	if !ok {
		return nil
	}
	return &d
}

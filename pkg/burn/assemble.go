package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// Assemble makes the report of a snapshot, which answers q, by the objectives
// of t. All request kinds of t and all that were counted are in it.
func Assemble(now time.Time, alerts []Alert, q Query, t *table.Table, s Snapshot) Report {
	r := Report{At: now, Age: s.Age, Dropped: s.Dropped, Alerts: alerts, Step: q.Step}
	if t != nil {
		r.Revision = t.Revision
		s.Kinds = withListed(s.Kinds, t, len(q.Windows))
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		var row table.Row
		if t != nil {
			row, _ = t.Row(k.Kind)
		}
		r.Kinds = append(r.Kinds, assembly{now: now, alerts: alerts, query: q, row: row, counts: k}.kind())
	}
	return r
}

// withListed adds the request kinds of the table of which nothing was counted.
func withListed(kinds []KindCounts, t *table.Table, windows int) []KindCounts {
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

// An assembly is the report of one kind in the making.
type assembly struct {
	now    time.Time
	alerts []Alert
	query  Query
	row    table.Row
	counts *KindCounts
}

func (a assembly) kind() KindReport {
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

func (a assembly) signal(s Signal) SignalReport {
	out := SignalReport{Signal: s}
	for _, x := range a.alerts {
		r := AlertReport{Name: x.Name, Long: a.reading(s, x.Long), Short: a.reading(s, x.Short)}
		r.State = a.state(s, x, r)
		out.Alerts = append(out.Alerts, r)
	}
	return out
}

func (a assembly) state(s Signal, x Alert, r AlertReport) State {
	switch {
	case !a.held(s):
		return StateNoObjective
	case r.Long.Burn == nil || r.Short.Burn == nil:
		return StateNoData
	case *r.Long.Burn >= x.Rate && *r.Short.Burn >= x.Rate:
		return StateFiring
	default:
		return StateQuiet
	}
}

// held reports whether the table sets what the signal is measured by.
func (a assembly) held(s Signal) bool {
	_, ok := Budget(a.row.Target)
	return ok && (s != LatencySignal || a.row.Objective > 0)
}

func (a assembly) reading(s Signal, w time.Duration) Reading {
	c := &a.counts.Windows[slices.Index(a.query.Windows, w)]
	bad, total := c.Misses(s)
	return Reading{Window: w, Bad: bad, Total: total, Burn: a.burn(s, c)}
}

// burn returns the burn rate of c, nil where there is none.
func (a assembly) burn(s Signal, c *Counts) *float64 {
	if !a.held(s) {
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

// series returns the points whose short window lies within the query.
func (a assembly) series() []SeriesPoint {
	steps := make([]Counts, a.query.Points)
	for _, p := range a.counts.Points {
		steps[p.Index] = p.Counts
	}
	short := trail(a.alerts[0], a.query.Step)
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

func (a assembly) point(index int, step, sum *Counts) SeriesPoint {
	newest := time.Unix(0, numberOf(a.now)*int64(BucketWidth)).UTC()
	p := SeriesPoint{At: newest.Add(-time.Duration(index) * a.query.Step), Counts: *step}
	p.P50, p.P99 = quantiles(step)
	for _, s := range Signals() {
		p.Burns = append(p.Burns, SignalBurn{Signal: s, Burn: a.burn(s, sum)})
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

package burn

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func init() { _ = flag.Set("rapid.seed", "7") }

var now = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// occurrence is one event that a process counts: an admission if it has one, and an
// outcome otherwise.
type occurrence struct {
	age       time.Duration
	kind      fleet.Kind
	outcome   fleet.Outcome
	latency   time.Duration
	admission *Admission
}

const objective = 300 * time.Millisecond

// drawAge favours ages near the ends of windows and ages that share a ring slot with them.
func drawAge(t *rapid.T) time.Duration {
	end := rapid.SampledFrom([]time.Duration{0, 5 * time.Minute, 30 * time.Minute, time.Hour, MaxWindow}).Draw(t, "end")
	off := rapid.SampledFrom([]time.Duration{-3 * BucketWidth, -2 * BucketWidth, -BucketWidth, 0, 1, BucketWidth, 2 * BucketWidth}).Draw(t, "off")
	turns := time.Duration(rapid.IntRange(0, 1).Draw(t, "turns"))
	return max(0, end+off) + turns*time.Duration(bucketCount)*BucketWidth
}

func drawOccurrence(t *rapid.T) occurrence {
	o := occurrence{
		age:     drawAge(t),
		kind:    rapid.SampledFrom([]fleet.Kind{"gust", "alert", "session"}).Draw(t, "kind"),
		outcome: rapid.SampledFrom([]fleet.Outcome{fleet.Answered, fleet.Answered, fleet.NotRun, fleet.Unknown}).Draw(t, "outcome"),
		latency: rapid.SampledFrom([]time.Duration{0, objective, objective + 1, 2 * objective}).Draw(t, "latency"),
	}
	if rapid.Bool().Draw(t, "atAgent") {
		o.admission = &Admission{
			Running: rapid.IntRange(0, 3).Draw(t, "running"), Floor: rapid.IntRange(0, 3).Draw(t, "floor"),
			Queued: o.latency, Started: rapid.Bool().Draw(t, "started"),
		}
	}
	return o
}

// record counts the occurrence in r.
func (o occurrence) record(r *Recorder) {
	at := now.Add(-o.age)
	if o.admission != nil {
		r.RecordAdmission(at, o.kind, *o.admission, objective)
		return
	}
	r.RecordOutcome(at, o.kind, o.outcome, o.latency, objective)
}

// add is a reference implementation of counting, without buckets.
func (o occurrence) add(c *Counts) {
	switch a := o.admission; {
	case a != nil && a.Running >= a.Floor:
	case a != nil:
		c.FloorAsked++
		if !a.Started {
			c.FloorRefused++
		} else if a.Queued > objective {
			c.FloorLate++
		}
	case o.outcome == fleet.NotRun:
		c.NotRun++
	case o.outcome == fleet.Unknown:
		c.Unknown++
	default:
		c.Answered++
		if o.latency > objective {
			c.Late++
		}
	}
}

func defaultQuery(g Gomega) Query {
	q, err := NewQuery(DefaultAlerts(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	return q
}

// TestMergedRecorders checks that merged snapshots of several recorders equal that of
// one recorder, in any order of merging. A window must contain all of its occurrences
// except those of its oldest bucket and no others, and a point exactly its step.
func TestMergedRecorders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		q := defaultQuery(g)
		one := Recorder{Since: now}
		parts := make([]Recorder, 3)
		all := rapid.SliceOfN(rapid.Custom(drawOccurrence), 0, 60).Draw(t, "all")
		// A process counts in the order of its clock.
		slices.SortStableFunc(all, func(a, b occurrence) int { return int(b.age - a.age) })
		for _, o := range all {
			o.record(&one)
			o.record(&parts[rapid.IntRange(0, len(parts)-1).Draw(t, "process")])
		}
		whole := one.Snapshot(now, q)
		g.Expect(whole.Check(q)).To(Succeed())

		var merged Snapshot
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			parts[i].Since = now
			b, err := codec.Encode(parts[i].Snapshot(now, q))
			g.Expect(err).NotTo(HaveOccurred())
			s, err := codec.Decode[Snapshot](b)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Check(q)).To(Succeed())
			merged.Merge(s)
		}
		g.Expect(merged).To(Equal(whole))

		for _, k := range whole.Kinds {
			for i, w := range q.Windows {
				var lower, upper Counts
				for _, o := range all {
					if o.kind == k.Kind && o.age <= w-BucketWidth {
						o.add(&lower)
					}
					if o.kind == k.Kind && o.age <= w {
						o.add(&upper)
					}
				}
				expectBetween(g, lower, k.Windows[i], upper)
				answers := uint64(0)
				for _, n := range k.Windows[i].Latency {
					answers += n
				}
				g.Expect(answers).To(Equal(k.Windows[i].Answered))
			}
		}
		for _, k := range Assemble(now, DefaultAlerts(), q, nil, whole).Kinds {
			for _, p := range k.Series {
				var exact Counts
				for _, o := range all {
					at := now.Add(-o.age)
					if o.kind == k.Kind && !at.Before(p.At.Add(-q.Step)) && at.Before(p.At) {
						o.add(&exact)
					}
				}
				expectBetween(g, exact, p.Counts, exact)
			}
		}
	})
}

// expectBetween checks that each count of c is between those of lower and upper.
func expectBetween(g Gomega, lower, c, upper Counts) {
	for _, f := range []func(Counts) uint64{
		func(c Counts) uint64 { return c.Answered }, func(c Counts) uint64 { return c.Late },
		func(c Counts) uint64 { return c.NotRun }, func(c Counts) uint64 { return c.Unknown },
		func(c Counts) uint64 { return c.FloorAsked }, func(c Counts) uint64 { return c.FloorRefused },
		func(c Counts) uint64 { return c.FloorLate },
	} {
		g.Expect(f(c)).To(And(BeNumerically(">=", f(lower)), BeNumerically("<=", f(upper))))
	}
}

// TestRate checks the formula of the burn rate, that more misses or a stricter target
// never lower it, that it is finite, and that there is no rate without counts.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		target := table.Share(rapid.Float64Range(0.01, 1).Draw(t, "target"))
		total := rapid.Uint64Range(1, 1e9).Draw(t, "total")
		bad := rapid.Uint64Range(0, total-1).Draw(t, "bad")
		b, ok := Budget(target)
		g.Expect(ok).To(BeTrue())
		r, _ := Rate(bad, total, b)
		worse, _ := Rate(bad+1, total, b)
		strict, _ := Budget(min(1, target+0.001))
		stricter, _ := Rate(bad, total, strict)
		g.Expect(r * b * float64(total)).To(BeNumerically("~", float64(bad), 1e-6*float64(bad+1)))
		g.Expect(worse).To(BeNumerically(">", r))
		g.Expect(stricter).To(BeNumerically(">=", r))
		g.Expect(math.IsInf(worse, 0)).To(BeFalse())
		_, ok = Rate(0, 0, b)
		g.Expect(ok).To(BeFalse())
	})
}

// TestQuantile checks that a quantile is at least the exact one and at most one cell above it.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ds := rapid.SliceOfN(rapid.Int64Range(int64(time.Millisecond), int64(50*time.Second)), 1, 50).Draw(t, "latencies")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		var l LatencyHistogram
		for _, d := range ds {
			l.record(time.Duration(d))
		}
		slices.Sort(ds)
		exact := float64(ds[max(1, int(math.Ceil(share*float64(len(ds)))))-1])
		d, ok := l.Quantile(share)
		g.Expect(ok).To(BeTrue())
		g.Expect(float64(d)).To(And(BeNumerically(">=", exact-1), BeNumerically("<=", exact*math.Exp2(1.0/cellsPerOctave)+1)))
	})
}

// TestAlerts checks the state of an alert for misses in its long and short windows,
// and that an empty window yields no data.
func TestAlerts(t *testing.T) {
	rows := &table.Table{Rows: []table.Row{
		{Kind: "gust", Class: table.ClassRequest, Target: 0.99, Objective: objective},
		{Kind: "loose", Class: table.ClassRequest},
	}}
	for _, c := range []struct {
		name string
		kind fleet.Kind
		// old and recent are numbers of refused requests, or of answered ones if negative.
		old, recent int
		want        State
	}{
		{"no counts", "gust", 0, 0, StateNoData},
		{"only outside the short window", "gust", 10, 0, StateNoData},
		{"misses in both windows", "gust", 10, 10, StateFiring},
		{"recovered", "gust", 10, -10, StateQuiet},
		{"misses only in the short window", "gust", -90, 10, StateQuiet},
		{"no target", "loose", 10, 10, StateNoObjective},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var r Recorder
			record := func(age time.Duration, n int) {
				for range max(n, -n) {
					o := fleet.NotRun
					if n < 0 {
						o = fleet.Answered
					}
					r.RecordOutcome(now.Add(-age), c.kind, o, 0, objective)
				}
			}
			record(40*time.Minute, c.old)
			record(time.Minute, c.recent)
			q := defaultQuery(g)
			p := Assemble(now, DefaultAlerts(), q, rows, r.Snapshot(now, q))
			i := slices.IndexFunc(p.Kinds, func(k KindReport) bool { return k.Kind == c.kind })
			a := p.Kinds[i].Signals[1].Alerts[0]
			g.Expect(a.State).To(Equal(c.want))
			g.Expect(a.Short.Burn == nil).To(Equal(c.recent == 0 || c.kind == "loose"))
			g.Expect(p.Kinds).To(HaveLen(2))
		})
	}
}

// TestInvalidInput checks that snapshots that do not match the query and invalid
// alerts are rejected, and that valid alerts survive formatting and parsing.
func TestInvalidInput(t *testing.T) {
	g := NewWithT(t)
	q := defaultQuery(g)
	valid := func() Snapshot {
		return Snapshot{Kinds: []KindCounts{{Kind: "gust", Windows: make([]Counts, len(q.Windows)), Points: []Point{{Index: 1}}}}}
	}
	s := valid()
	g.Expect(s.Check(q)).To(Succeed())
	for name, corrupt := range map[string]func(*Snapshot){
		"cells":          func(s *Snapshot) { s.Kinds[0].Windows[0].Latency = make(LatencyHistogram, maxCells+1) },
		"windows":        func(s *Snapshot) { s.Kinds[0].Windows = nil },
		"index":          func(s *Snapshot) { s.Kinds[0].Points[0].Index = q.Points },
		"negative":       func(s *Snapshot) { s.Kinds[0].Points[0].Index = -1 },
		"repeated":       func(s *Snapshot) { s.Kinds = append(s.Kinds, s.Kinds[0]) },
		"partial counts": func(s *Snapshot) { s.Kinds[0].Points[0].Counts.Late = 1 },
		"too many kinds": func(s *Snapshot) { s.Kinds = make([]KindCounts, maxKinds+1) },
	} {
		s := valid()
		corrupt(&s)
		g.Expect(s.Check(q)).To(MatchError(ErrMalformed), name)
	}
	for _, a := range []string{"", "page", "page=14.4/1h", "=1/1h/5m", "p=0/1h/5m", "p=NaN/1h/5m", "p=1/5m/1h", "p=1/7h/5m", "p=1/1h/1s"} {
		_, err := ParseAlert(a)
		g.Expect(err).To(MatchError(ErrInvalid), a)
	}
	for _, a := range DefaultAlerts() {
		g.Expect(ParseAlert(a.String())).To(Equal(a))
	}
}

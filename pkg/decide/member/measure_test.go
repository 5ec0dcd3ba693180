package member_test

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/table"
)

const (
	joinTime    = 40 * time.Second
	measureTime = time.Minute
)

var fleetSizes = []struct {
	name  string
	sizes []int
}{
	{"10", []int{10}},
	{"50", []int{50}},
	{"200", []int{200}},
	{"17x12", sameSizes(17, 12)},
	{"17x50", sameSizes(17, 50)},
	{"17x224", sameSizes(17, 224)},
}

func sameSizes(n, size int) []int {
	return slices.Repeat([]int{size}, n)
}

// BenchmarkTraffic measures the bytes sent per second on average and by the busiest member,
// the bytes received by the busiest member, and the processor time per member. The bytes
// include the seal of each packet; the processor time includes the codec, but no sealing.
func BenchmarkTraffic(b *testing.B) {
	for _, l := range fleetSizes {
		b.Run(l.name, func(b *testing.B) {
			for range b.N {
				measureTraffic(b, l.sizes)
			}
		})
	}
}

func measureTraffic(b *testing.B, sizes []int) {
	w := newNetwork(1, sizes...)
	w.run(joinTime)
	for _, n := range w.nodes {
		n.sent, n.received = 0, 0
	}
	began := processorTime(b)
	w.run(measureTime)
	used := processorTime(b) - began
	all, sent, received := 0, 0, 0
	for _, n := range w.nodes {
		all += n.sent
		sent, received = max(sent, n.sent), max(received, n.received)
	}
	s := measureTime.Seconds()
	b.ReportMetric(float64(all)/s/float64(len(w.nodes)), "B/s-sent")
	b.ReportMetric(float64(sent)/s, "B/s-sent-max")
	b.ReportMetric(float64(received)/s, "B/s-received-max")
	b.ReportMetric(used.Seconds()/s/float64(len(w.nodes))*100, "%core")
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRevision measures the virtual time until a revision reaches each member, over 20
// edits, or 5 in fleets of more than 1000 processes.
func BenchmarkRevision(b *testing.B) {
	for _, l := range fleetSizes {
		for _, loss := range []float64{0, 0.1} {
			b.Run(fmt.Sprintf("%s/loss=%g", l.name, loss), func(b *testing.B) {
				for range b.N {
					w := newNetwork(2, l.sizes...)
					w.run(joinTime)
					w.loss = loss
					reportQuantiles(b, w.revisionDelays(20))
				}
			})
		}
	}
}

// revisionDelays sets n revisions at random members and returns the time that each took to
// each other member, 10 s if it did not arrive.
func (w *network) revisionDelays(n int) []time.Duration {
	if len(w.nodes) > 1000 {
		n = 5
	}
	var out []time.Duration
	for i := range n {
		r, t0 := table.Revision(i+1), w.now
		first := w.nodes[w.rnd.IntN(len(w.nodes))]
		first.revision, first.revisionAt = r, w.now
		w.step(first, member.SetRevision{Revision: r, Token: uint64(r)})
		w.run(10 * time.Second)
		for _, o := range w.nodes {
			d := 10 * time.Second
			if o.revision == r {
				d = o.revisionAt.Sub(t0)
			}
			if o != first {
				out = append(out, d)
			}
		}
	}
	return out
}

// reportQuantiles reports the p50, the p99 and the maximum of ds.
func reportQuantiles(b *testing.B, ds []time.Duration) {
	if len(ds) == 0 {
		b.Fatal("nothing measured")
	}
	slices.Sort(ds)
	for _, q := range []struct {
		name string
		rank int
	}{{"s-p50", len(ds) / 2}, {"s-p99", len(ds) * 99 / 100}, {"s-max", len(ds) - 1}} {
		b.ReportMetric(ds[q.rank].Seconds(), q.name)
	}
}

// BenchmarkDetection measures the virtual time from a crash to Dead, and from Leave to Left,
// at each member.
func BenchmarkDetection(b *testing.B) {
	for _, size := range []int{10, 50, 200} {
		for _, loss := range []float64{0, 0.01, 0.1} {
			for _, v := range []member.State{member.Dead, member.Left} {
				b.Run(fmt.Sprintf("%d/loss=%g/%s", size, loss, v), func(b *testing.B) {
					for range b.N {
						reportQuantiles(b, detectionDelays(size, loss, v))
					}
				})
			}
		}
	}
}

func detectionDelays(size int, loss float64, state member.State) []time.Duration {
	var out []time.Duration
	w := newNetwork(3, size)
	w.run(joinTime)
	w.loss = loss
	for i := range 5 {
		n, t0 := w.nodes[i+1], w.now
		if state == member.Left {
			w.step(n, member.Leave{})
		} else {
			n.down = true
		}
		w.run(time.Minute)
		n.down = true
		for _, o := range w.nodes {
			for _, c := range o.changes {
				if !o.down && c.identity == n.self.ProcessIncarnation && c.state == state && !c.at.Before(t0) {
					out = append(out, c.at.Sub(t0))
				}
			}
		}
	}
	return out
}

// BenchmarkAccuracy measures false positives per member and hour: suspicions, and the
// changes to Suspect and Dead at all members.
func BenchmarkAccuracy(b *testing.B) {
	for _, size := range []int{10, 50, 200} {
		for _, loss := range []float64{0, 0.01, 0.1} {
			b.Run(fmt.Sprintf("%d/loss=%g", size, loss), func(b *testing.B) {
				for range b.N {
					w := newNetwork(4, size)
					w.run(joinTime)
					w.loss = loss
					t0 := w.now
					w.run(10 * time.Minute)
					h := float64(size) * w.now.Sub(t0).Hours()
					b.ReportMetric(float64(w.countSuspicions(t0))/h, "accusations/member-h")
					b.ReportMetric(float64(w.countVerdicts(member.Suspect, t0))/h, "suspicions/member-h")
					b.ReportMetric(float64(w.countVerdicts(member.Dead, t0))/h, "deaths/member-h")
				}
			})
		}
	}
}

// countSuspicions counts the suspicions since t. Changes to Suspect of one member in the same
// 5 s count once, at however many members they occur.
func (w *network) countSuspicions(t time.Time) int {
	type key struct {
		id string
		at int64
	}
	seen := map[key]bool{}
	for _, n := range w.nodes {
		for _, c := range n.changes {
			if c.state == member.Suspect && !c.at.Before(t) {
				seen[key{string(c.identity.ID), c.at.Unix() / 5}] = true
			}
		}
	}
	return len(seen)
}

package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkYieldPass measures passes at several fleet sizes while urgent work arrives at five
// times the ordinary rate, with and without yields.
func BenchmarkYieldPass(b *testing.B) {
	for _, n := range []int{11, 76, 240, 1000} {
		for name, v := range map[string]policyVariant{"none": {noYields: true}, "value": {}} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				x := float64(n) / float64(scarceFleet.workers)
				l := scarceFleet
				l.workers, l.urgentRate, l.wideRate, l.servingJobs = n, l.urgentRate*x, l.wideRate*x, n/7
				f := newYieldSim(1, l, v)
				f.simulate(10*time.Second, 1, 1)
				f.passTimes = nil
				for b.Loop() {
					f.simulate(time.Second, 5, 1)
				}
				slices.Sort(f.passTimes)
				for _, p := range []int{50, 90, 99} {
					b.ReportMetric(float64(f.passTimes[len(f.passTimes)*p/100].Microseconds()), fmt.Sprintf("µs-p%d", p))
				}
				b.ReportMetric(float64(len(f.yields)), "yields")
			})
		}
	}
}

// BenchmarkYieldSearch measures a search over full workers for work that yields, of which
// none is worth its stop, so that all are compared. Two are made each yieldInterval at most.
func BenchmarkYieldSearch(b *testing.B) {
	for _, n := range []int{11, 76, 240, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := float64(n) / float64(scarceFleet.workers)
			l := scarceFleet
			l.workers, l.urgentRate, l.wideRate, l.servingJobs = n, l.urgentRate*x, l.wideRate*x, n/7
			f := newYieldSim(1, l, policyVariant{noYields: true})
			f.simulate(10*time.Second, 1, 1)
			f.simulate(2*time.Second, 8, 1)
			var need *yieldNeed
			for _, c := range f.pendingSteps(f.now) {
				if !c.step.LongRunning && !c.step.BestEffort {
					_, first := c.step.unyielded()
					need = &yieldNeed{pendingStep: c, task: first, missing: c.step.Need.MilliCPU, work: 0.1, capacity: 1}
				}
			}
			if need == nil {
				b.Fatal("no urgent step waits")
			}
			for b.Loop() {
				if f.yieldTo(f.now, need, &Orders{}) != 0 {
					b.Fatal("work yields")
				}
			}
		})
	}
}

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

package compare

import "testing"

// BenchmarkPolicies reports each policy's tail, batch work and evictions.
func BenchmarkPolicies(b *testing.B) {
	for p, name := range []string{"default", "firstFit", "leastLoaded", "noLearning", "eager"} {
		b.Run(name, func(b *testing.B) {
			var r Result
			for b.Loop() {
				r = Run(Policy(p), 7, 3600)
			}
			b.ReportMetric(float64(r.P99.Microseconds())/1000, "p99-ms")
			b.ReportMetric(r.Work, "processor-s")
			b.ReportMetric(float64(r.Evictions), "evictions")
		})
	}
}

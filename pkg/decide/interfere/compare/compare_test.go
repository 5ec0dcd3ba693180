package compare

import (
	"fmt"
	"testing"
)

// BenchmarkPolicies reports the tail latency, the batch work and the evictions of each policy.
func BenchmarkPolicies(b *testing.B) {
	policies := []string{"default", "firstFit", "leastLoaded", "noLearning", "eager"}
	for i := range len(policies) * 3 {
		p, seed := i%len(policies), uint64(7+i/len(policies))
		b.Run(fmt.Sprintf("%s/seed%d", policies[p], seed), func(b *testing.B) {
			var r Result
			for b.Loop() {
				r = Run(Policy(p), seed, 3600)
			}
			b.ReportMetric(float64(r.P99.Microseconds())/1000, "p99-ms")
			b.ReportMetric(r.BatchWork, "processor-s")
			b.ReportMetric(float64(r.Evictions), "evictions")
		})
	}
}

package local

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"
)

// TestPlannedStopsLoseNoRequest guards against requests that are broken or falsely
// answered "not run" while an agent and then an entry drain under load. The number
// of refused requests isn't checked, as it depends on the machine's load.
func TestPlannedStopsLoseNoRequest(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t)
	generator := &LoadGenerator{Recorder: &CallerRecorder{}}
	// All requests go to the entry that stops. The load ends while the entry drains,
	// as a balancer stops sending requests to it.
	generator.Entries = append(generator.Entries, c.Entries[0].Settings.Caller.Listen)
	load, stop := context.WithCancel(context.Background())
	defer stop()
	var loads sync.WaitGroup
	loads.Go(func() { generator.Run(load, Load{Kind: kindGust, Rate: rate.Limit(150)}) })
	offered := func() int { return generator.Recorder.Stats(kindGust).Offered }
	g.Eventually(offered, "30s", "10ms").Should(BeNumerically(">", 100))
	c.Agents[0].Stop()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Entries[0].Stop()
	}()
	// A balancer still sends requests for a moment after the stop has begun.
	before := offered()
	g.Eventually(offered, "30s", "10ms").Should(BeNumerically(">", before+50))
	stop()
	loads.Wait()
	generator.Wait()
	<-stopped
	stats := generator.Recorder.Stats(kindGust)
	g.Expect(stats.Offered).To(BeNumerically(">", 100))
	g.Expect(stats.Broken + stats.Unknown + stats.Mismatched).To(BeZero())
	g.Expect(stats.Answered + stats.NotRun).To(Equal(stats.Offered))
	g.Expect(generator.Recorder.FalseNotRuns(c.TargetRecorder.Runs)).To(BeEmpty())
}

package local

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"
)

// TestPlannedStopsLoseNoRequest drains an agent and then an entry under load:
// each request that was sent is answered, or refused and by the target's
// record not run. How many are refused depends on the machine's load.
func TestPlannedStopsLoseNoRequest(t *testing.T) {
	g := NewWithT(t)
	c := start(t)
	x := &LoadGenerator{Recorder: &CallerRecorder{}}
	// The entry that stops gets no new callers, as behind a balancer.
	x.Entries = append(x.Entries, c.Entries[0].Settings.Caller.Listen)
	load, stop := context.WithCancel(context.Background())
	defer stop()
	var loads sync.WaitGroup
	loads.Go(func() { x.Run(load, Load{Kind: kindGust, Rate: rate.Limit(150)}) })
	offered := func() int { return x.Recorder.Stats(kindGust).Offered }
	g.Eventually(offered, "30s", "10ms").Should(BeNumerically(">", 100))
	c.Agents[0].Stop()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Entries[0].Stop()
	}()
	// The balancer sends on for a moment after the stop has begun.
	before := offered()
	g.Eventually(offered, "30s", "10ms").Should(BeNumerically(">", before+50))
	stop()
	loads.Wait()
	x.Wait()
	<-stopped
	o := x.Recorder.Stats(kindGust)
	g.Expect(o.Offered).To(BeNumerically(">", 100))
	g.Expect(o.Broken + o.Unknown + o.Mismatched).To(BeZero())
	g.Expect(o.Answered + o.NotRun).To(Equal(o.Offered))
	g.Expect(x.Recorder.FalseNotRuns(c.TargetRecorder.Runs)).To(BeEmpty())
}

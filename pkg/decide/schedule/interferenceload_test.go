package schedule

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// thirdOfLargeFleet returns a third of the load of the large fleet, with fewer images and wide jobs.
func thirdOfLargeFleet() fleetLoad {
	l := largeFleet.scaledTo(80)
	l.victimImages, l.aggressorImages = 10, 18
	l.wideRate *= 0.7
	return l
}

// meanResult runs a pacingSim for each of several seeds and returns the mean
// result, with the stopped runs summed up.
func meanResult(t *testing.T, what string, seeds int, l fleetLoad, r policyVariant) pacingSimResult {
	t.Helper()
	all := make([]pacingSimResult, seeds)
	var g sync.WaitGroup
	for i := range seeds {
		g.Go(func() { all[i] = runPacingSim(uint64(i+1), l, r) })
	}
	g.Wait()
	var mean pacingSimResult
	for _, x := range all {
		mean.bestEffort += x.bestEffort / float64(seeds)
		mean.serving += x.serving / float64(seeds)
		mean.stoppedRuns += x.stoppedRuns
	}
	t.Logf("%s: %v", what, mean)
	return mean
}

// Under oscillating load of latency-critical tasks, more best-effort jobs complete
// in time if their throttled tasks are moved at once and if reserved tasks are
// packed away from the workers that are open to best-effort tasks. The
// latency-critical tasks meet their targets as well as without.
func TestMovingBestEffortTasksAtOnceCompletesMoreInTime(t *testing.T) {
	g := NewWithT(t)
	l := thirdOfLargeFleet()
	atOnce := meanResult(t, "throttled tasks moved at once, reserved tasks packed", 4, l, policyVariant{})
	delayed := meanResult(t, "throttled tasks moved after some windows", 4, l, policyVariant{delayMoves: true})
	delayedAndSpread := meanResult(t, "throttled tasks moved after some windows, reserved tasks spread", 4, l, policyVariant{delayMoves: true, ignoreCompatibility: true})
	g.Expect(atOnce.bestEffort).To(BeNumerically(">", delayed.bestEffort))
	g.Expect(atOnce.bestEffort).To(BeNumerically(">", delayedAndSpread.bestEffort))
	g.Expect(atOnce.serving).To(BeNumerically(">", delayedAndSpread.serving-0.005))
}

// dozenWorkers returns the load of a fleet of a dozen workers with few images.
func dozenWorkers() fleetLoad {
	l := largeFleet.scaledTo(12)
	l.wideRate, l.wideWidth, l.urgentRate, l.urgentWidth = 1.0, 8, 3, 6
	l.servingJobs, l.servingWidth = 8, 6
	l.victimImages, l.aggressorImages = 5, 9
	return l
}

// dozenLargeWorkers returns the load of a fleet of a dozen workers of four times
// the processors, whose tasks are larger in proportion. Each task of an aggressor
// takes more of a victim's headroom than on small workers.
func dozenLargeWorkers() fleetLoad {
	l := dozenWorkers()
	l.cpuFactor = 4
	l.lightWeight, l.heavyWeight = [2]float64{0, 0.02}, [2]float64{0.1, 0.45}
	return l
}

// On workers with many processors the tasks are large too. Best-effort tasks of
// images that were never observed are tried at once, rather than only after the
// wait limit, so that they learn their weights while little runs.
func TestUnknownImagesAreTriedOnLargeWorkers(t *testing.T) {
	g := NewWithT(t)
	for _, factor := range []float64{1, 4} {
		l := dozenLargeWorkers()
		l.cpuFactor = factor
		c := newPacingSim(1, l)
		c.addServingJobs(2 * l.servingJobs)
		c.simulate(time.Second, 0, 0)
		id := c.submitJob("wide", batch.Step{
			Count: 4, Need: batch.Resources{MilliCPU: l.milliCPU(1800), MemoryMB: 100}, Estimate: time.Second, BestEffort: true, Image: "fill-0",
		})
		c.objectives[id] = 5 * time.Second
		c.runSchedulePass()
		started := 0
		for t := range c.jobs[id].occurrences[0].steps[0].records() {
			if t.worker != nil {
				started++
			}
		}
		g.Expect(started).To(Equal(4), "workers of %v times the processors", factor)
	}
}

// Latency-critical tasks that start before their weights are known share workers so
// that some best-effort images find none that is open. Moving single ones completes
// more best-effort jobs in time, and keeps more tail latencies within their targets.
func TestRearrangedServingTasksLeaveOpenWorkers(t *testing.T) {
	g := NewWithT(t)
	for name, l := range map[string]fleetLoad{"small workers": dozenWorkers(), "large workers": dozenLargeWorkers()} {
		moved := meanResult(t, name+", serving tasks moved", 8, l, policyVariant{})
		kept := meanResult(t, name+", serving tasks kept", 8, l, policyVariant{keepArrangement: true})
		g.Expect(moved.bestEffort).To(BeNumerically(">", kept.bestEffort))
		g.Expect(moved.serving).To(BeNumerically(">", kept.serving))
	}
}

// Where the load of latency-critical tasks is followed, best-effort tasks use the
// processors that it leaves at the time, and more of them complete in time than
// where the same part of each reservation is taken for used.
func TestBestEffortTasksUseWhatServingTasksLeave(t *testing.T) {
	g := NewWithT(t)
	l := dozenLargeWorkers()
	followed := meanResult(t, "load followed", 8, l, policyVariant{})
	constant := meanResult(t, "constant use", 8, l, policyVariant{constantServingUse: true})
	g.Expect(followed.bestEffort).To(BeNumerically(">", constant.bestEffort))
}

// Where more best-effort work waits than the open workers take, the order of least
// remaining work, with ageing, completes more jobs in time than the order of arrival
// or of deadlines.
func TestLeastRemainingWorkFirstCompletesMoreInTime(t *testing.T) {
	g := NewWithT(t)
	l := dozenLargeWorkers()
	least := meanResult(t, "least remaining work", 8, l, policyVariant{})
	arrival := meanResult(t, "arrival", 8, l, policyVariant{arrivalOrder: true})
	deadline := meanResult(t, "deadline", 8, l, policyVariant{deadlineOrder: true})
	g.Expect(least.bestEffort).To(BeNumerically(">", arrival.bestEffort))
	g.Expect(least.bestEffort).To(BeNumerically(">", deadline.bestEffort))
}

// The weights of all pairs are unknown at first, and the tasks of a step often have
// the same aggressors beside them. Learning the weights together with the loads costs
// at most 15 % of what is completed in time where the weights are known from the start.
func TestLearnedWeightsComeCloseToKnownOnes(t *testing.T) {
	g := NewWithT(t)
	l := thirdOfLargeFleet()
	learned := meanResult(t, "weights learned", 6, l, policyVariant{})
	l.knownWeights = true
	known := meanResult(t, "weights known", 6, l, policyVariant{})
	g.Expect(learned.bestEffort).To(BeNumerically(">", 0.85*known.bestEffort))
	g.Expect(learned.serving).To(BeNumerically(">", known.serving-0.005))
}

// A tenth of the workers is slow for eight seconds, which shows in all tail latencies
// on them. They must get no further work meanwhile, and what they show must not be
// taken for interference.
func TestSlowWorkersGetNoWork(t *testing.T) {
	g := NewWithT(t)
	l := thirdOfLargeFleet()
	l.slowWorkers = true
	left := meanResult(t, "slow workers left out", 6, l, policyVariant{})
	ignored := meanResult(t, "slow workers ignored", 6, l, policyVariant{ignoreSlowWorkers: true})
	g.Expect(left.bestEffort).To(BeNumerically(">", ignored.bestEffort))
	g.Expect(left.serving).To(BeNumerically(">", ignored.serving))
}

// BenchmarkRearrange measures one search for moves of latency-critical tasks at
// several fleet sizes.
func BenchmarkRearrange(b *testing.B) {
	for _, n := range []int{11, 76, 240, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := largeFleet.scaledTo(n)
			l.knownWeights = true
			c := newPacingSim(1, l)
			c.addServingJobs(max(l.servingJobs, 3))
			c.variant.keepArrangement = true
			c.simulate(minServingTime+time.Second, 0, 0)
			c.variant.keepArrangement = false
			for b.Loop() {
				var o Orders
				c.rearrangedAt = time.Time{}
				c.rearrange(c.now, &o)
			}
		})
	}
}

// While latency-critical tasks are moved, at most one task of a step is away at a time.
func TestOneTaskOfAStepIsMovedAtATime(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(4) {
		c := newPacingSim(seed+1, dozenLargeWorkers())
		c.addServingJobs(c.load.servingJobs)
		c.simulate(2*time.Second, c.load.urgentRate, c.load.wideRate)
		moves := 0
		for range 1200 {
			c.simulate(pacingSimStep, c.load.urgentRate, c.load.wideRate)
			moves = max(moves, len(c.moves))
			away := map[*step]int{}
			for _, m := range c.moves {
				away[m.task.step]++
			}
			for st, n := range away {
				g.Expect(n).To(Equal(1), "moved tasks of %v", st.job.ID)
				g.Expect(st.unassigned).To(BeNumerically("<=", 1), "tasks of %v without a worker", st.job.ID)
			}
		}
		g.Expect(moves).To(BeNumerically(">", 0))
	}
}

package pacing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

func newSample(name string, change func(*RunSample)) RunSample {
	r := RunSample{Task: batch.Task{Job: batch.JobID(name)}, Number: 1, Image: name}
	change(&r)
	return r
}

func critical(tail time.Duration) RunSample {
	return newSample("serve", func(r *RunSample) { r.TailLatency, r.LatencyTarget = tail, 50*time.Millisecond })
}

func bestEffort(name string, use int) RunSample {
	return newSample(name, func(r *RunSample) { r.BestEffort, r.UsedMilliCPU, r.RequestedMilliCPU = true, use, 2000 })
}

func newMachine() *Machine {
	return &Machine{
		CapacityMilliCPU: 16000,
		IdleTail:         func(string) time.Duration { return 10 * time.Millisecond },
		InterferenceWeight: func(_, aggressor string) (float64, bool) {
			return map[string]float64{"heavy": 0.6, "light": 0}[aggressor], true
		},
	}
}

// The load of a latency-critical task rises beside two best-effort tasks, of
// which only one interferes with it. Only that one may be throttled.
func TestOnlyTheAggressorIsThrottled(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(0, 0)
	step := func(tail time.Duration, heavy int) []PaceChange {
		now = now.Add(stepInterval)
		return m.Step(now, []RunSample{critical(tail), bestEffort("heavy", heavy), bestEffort("light", 2000)}, nil)
	}
	g.Expect(step(20*time.Millisecond, 2000)).To(BeEmpty())
	c := step(48*time.Millisecond, 2000)
	g.Expect(c).To(HaveLen(1))
	g.Expect(string(c[0].Task.Job)).To(Equal("heavy"))
	g.Expect(c[0].Percent).To(BeNumerically("<", 100))
	down := c[0].Percent
	g.Expect(step(47*time.Millisecond, 20*down)).To(BeEmpty(), "the tail latency does not reflect the last change yet")
	back := step(15*time.Millisecond, 20*down)
	g.Expect(back).To(HaveLen(1))
	g.Expect(back[0].Percent).To(BeNumerically(">", down))
}

// A tail latency that stays above its target for a second halts all
// best-effort tasks, whether or not they are known to interfere.
func TestAllAreHaltedIfTheAggressorIsUnknown(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.InterferenceWeight = func(string, string) (float64, bool) { return 0, true }
	now := time.Unix(0, 0)
	for range 8 {
		now = now.Add(stepInterval)
		m.Step(now, []RunSample{critical(80 * time.Millisecond), bestEffort("light", 2000)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "light"}, 1)).To(Equal(0))
	g.Expect(m.Throttling()).To(BeTrue())
}

// The tail latency follows a change of pace by about a second, so all
// best-effort tasks have to be halted within two seconds of the first sample
// above the target. Repeated steps of factor 0.4 take a second longer, and the
// violation then counts as harm.
func TestAllAreHaltedBeforeTheViolationCountsAsHarm(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.InterferenceWeight = func(string, string) (float64, bool) { return 0.05, true }
	now := time.Unix(0, 0)
	for range 4 {
		now = now.Add(stepInterval)
		m.Step(now, []RunSample{critical(51 * time.Millisecond), bestEffort("a", 2000), bestEffort("b", 1000)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "a"}, 1)).To(Equal(0))
	g.Expect(m.Pace(batch.Task{Job: "b"}, 1)).To(Equal(0))
}

// An order that is executed late may undo a newer one. The pace is sent again
// when the processor use of the run exceeds it.
func TestPaceIsSentAgainIfUseExceedsIt(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(0, 0)
	step := func(tail time.Duration, use int) []PaceChange {
		now = now.Add(stepInterval)
		return m.Step(now, []RunSample{critical(tail), bestEffort("heavy", use)}, nil)
	}
	g.Expect(step(300*time.Millisecond, 2000)).To(HaveLen(1))
	p := m.Pace(batch.Task{Job: "heavy"}, 1)
	for range 3 {
		step(40*time.Millisecond, 20*p)
	}
	g.Expect(step(40*time.Millisecond, 2000)).To(ContainElement(HaveField("Percent", m.Pace(batch.Task{Job: "heavy"}, 1))))
}

// The pace of a run that was started before this process isn't known, so it is sent
// at the first step.
func TestAdoptedRunsAreSentTheirPace(t *testing.T) {
	g := NewWithT(t)
	r := bestEffort("light", 0)
	r.Adopted = true
	c := newMachine().Step(time.Unix(1, 0), []RunSample{r}, nil)
	g.Expect(c).To(HaveLen(1))
	g.Expect(c[0].Percent).To(Equal(fullPace))
}

// A tail latency that crosses its target repeatedly halts all best-effort tasks,
// as one that stays above it does. Samples are imprecise, and a single low one
// that restarts the time limit lets the violation last long enough to count as
// harm, even without any fault of the hosts.
func TestIntermittentViolationHaltsAll(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.InterferenceWeight = func(string, string) (float64, bool) { return 0.01, true }
	now := time.Unix(0, 0)
	for _, tail := range []time.Duration{51, 46, 52, 46} {
		now = now.Add(stepInterval)
		m.Step(now, []RunSample{critical(tail * time.Millisecond), bestEffort("a", 2000)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "a"}, 1)).To(Equal(0))
	// The task recovers after two samples below the target.
	for range 3 {
		now = now.Add(stepInterval)
		m.Step(now, []RunSample{critical(15 * time.Millisecond), bestEffort("a", 0)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "a"}, 1)).To(BeNumerically(">", 0))
}

// A tail latency many times its target doesn't show how large the reduction has
// to be. The aggressors are throttled at least by the default factor.
func TestSaturatedTailThrottlesAggressorsByDefaultFactor(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(1, 0)
	samples := []RunSample{critical(500 * time.Millisecond), bestEffort("light", 2000)}
	for i := range 10 {
		r := bestEffort("heavy", 2000)
		r.Task.Index = i
		samples = append(samples, r)
	}
	m.Step(now, samples, nil)
	for i := range 10 {
		g.Expect(m.Pace(batch.Task{Job: "heavy", Index: i}, 1)).To(BeNumerically("<=", defaultThrottleFactor*fullPace))
	}
	g.Expect(m.Pace(batch.Task{Job: "light"}, 1)).To(Equal(fullPace))
}

// The own load of a latency-critical task rises by a tenth in each window beside an
// aggressor. The aggressor is throttled before the tail latency reaches its target.
func TestAggressorsAreThrottledAheadOfARisingTail(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(0, 0)
	pace, load := 100, 0.1
	for range 7 {
		now = now.Add(stepInterval)
		use := 2000 * pace / 100
		occupancy := load + 0.6*float64(use)/4000
		tail := time.Duration(float64(10*time.Millisecond) / (1 - min(occupancy, 0.96)))
		g.Expect(tail).To(BeNumerically("<", 50*time.Millisecond), "load %.1f, pace %d", load, pace)
		for _, c := range m.Step(now, []RunSample{critical(tail), bestEffort("heavy", use)}, nil) {
			pace = c.Percent
		}
		load += 0.1
	}
	g.Expect(pace).To(BeNumerically("<", 100))
}

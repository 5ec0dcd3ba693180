package pacing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

func row(name string, change func(*RunSample)) RunSample {
	r := RunSample{Task: batch.Task{Job: batch.JobID(name)}, Number: 1, Image: name}
	change(&r)
	return r
}

func serving(tail time.Duration) RunSample {
	return row("serve", func(r *RunSample) { r.TailLatency, r.LatencyTarget = tail, 50*time.Millisecond })
}

func filling(name string, use int) RunSample {
	return row(name, func(r *RunSample) { r.BestEffort, r.UsedMilliCPU, r.RequestedMilliCPU = true, use, 2000 })
}

func newMachine() *Machine {
	return &Machine{
		IdleTail: func(string) time.Duration { return 10 * time.Millisecond },
		InterferenceWeight: func(_, by string) (float64, bool) {
			return map[string]float64{"heavy": 0.6, "light": 0}[by], true
		},
	}
}

// The load answered: a serving task's own load rises while two tasks fill
// beside it, of which one disturbs it.
func TestOnlyTheAggressorIsThrottled(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(0, 0)
	look := func(tail time.Duration, heavy int) []PaceChange {
		now = now.Add(stepEvery)
		return m.Step(now, []RunSample{serving(tail), filling("heavy", heavy), filling("light", 2000)}, nil)
	}
	g.Expect(look(20*time.Millisecond, 2000)).To(BeEmpty())
	c := look(48*time.Millisecond, 2000)
	g.Expect(c).To(HaveLen(1))
	g.Expect(string(c[0].Task.Job)).To(Equal("heavy"))
	g.Expect(c[0].Percent).To(BeNumerically("<", 100))
	down := c[0].Percent
	g.Expect(look(47*time.Millisecond, 20*down)).To(BeEmpty(), "what was done isn't in the tail yet")
	back := look(15*time.Millisecond, 20*down)
	g.Expect(back).To(HaveLen(1))
	g.Expect(back[0].Percent).To(BeNumerically(">", down))
}

// A tail that stays over its target for a second halts all, known or not.
func TestAllAreHaltedIfTheAggressorIsUnknown(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.InterferenceWeight = func(string, string) (float64, bool) { return 0, true }
	now := time.Unix(0, 0)
	for range 8 {
		now = now.Add(stepEvery)
		m.Step(now, []RunSample{serving(80 * time.Millisecond), filling("light", 2000)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "light"}, 1)).To(Equal(0))
	g.Expect(m.Throttling()).To(BeTrue())
}

// Filling work is halted in time for a tail that follows a second late: within
// two seconds of the look at which it was first above its target (seen: HARM
// on a quiet day, where steps of 0.4 took a second longer).
func TestAllAreHaltedBeforeTheViolationCountsAsHarm(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.InterferenceWeight = func(string, string) (float64, bool) { return 0.05, true }
	now := time.Unix(0, 0)
	for range 4 {
		now = now.Add(stepEvery)
		m.Step(now, []RunSample{serving(51 * time.Millisecond), filling("a", 2000), filling("b", 1000)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "a"}, 1)).To(Equal(0))
	g.Expect(m.Pace(batch.Task{Job: "b"}, 1)).To(Equal(0))
}

// An order carried out late may undo a newer one: the use shows it.
func TestPaceIsSentAgainIfUseExceedsIt(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(0, 0)
	look := func(tail time.Duration, use int) []PaceChange {
		now = now.Add(stepEvery)
		return m.Step(now, []RunSample{serving(tail), filling("heavy", use)}, nil)
	}
	g.Expect(look(300*time.Millisecond, 2000)).To(HaveLen(1))
	p := m.Pace(batch.Task{Job: "heavy"}, 1)
	for range 3 {
		look(40*time.Millisecond, 20*p)
	}
	g.Expect(look(40*time.Millisecond, 2000)).To(ContainElement(HaveField("Percent", m.Pace(batch.Task{Job: "heavy"}, 1))))
}

// The pace of a run that was there before this process isn't known.
func TestAdoptedRunsAreSentTheirPace(t *testing.T) {
	g := NewWithT(t)
	r := filling("light", 0)
	r.Adopted = true
	c := newMachine().Step(time.Unix(1, 0), []RunSample{r}, nil)
	g.Expect(c).To(HaveLen(1))
	g.Expect(c[0].Percent).To(Equal(full))
}

// A tail that hovers about its target halts all as one that stays above it
// does: its figures are rough, and one of them may be too low (seen: HARM on
// days without any disturbance of the hosts).
func TestIntermittentViolationHaltsAll(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.InterferenceWeight = func(string, string) (float64, bool) { return 0.01, true }
	now := time.Unix(0, 0)
	for _, tail := range []time.Duration{51, 46, 52, 46} {
		now = now.Add(stepEvery)
		m.Step(now, []RunSample{serving(tail * time.Millisecond), filling("a", 2000)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "a"}, 1)).To(Equal(0))
	// It comes back once the tail has been below for two looks.
	for range 3 {
		now = now.Add(stepEvery)
		m.Step(now, []RunSample{serving(15 * time.Millisecond), filling("a", 0)}, nil)
	}
	g.Expect(m.Pace(batch.Task{Job: "a"}, 1)).To(BeNumerically(">", 0))
}

// A tail many times over its target doesn't tell how much room is missing: what
// disturbs it gives way by more than the figure says.
func TestSaturatedTailThrottlesAggressorsByDefaultFactor(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	now := time.Unix(1, 0)
	rows := []RunSample{serving(500 * time.Millisecond), filling("light", 2000)}
	for i := range 10 {
		r := filling("heavy", 2000)
		r.Task.Index = i
		rows = append(rows, r)
	}
	m.Step(now, rows, nil)
	for i := range 10 {
		g.Expect(m.Pace(batch.Task{Job: "heavy", Index: i}, 1)).To(BeNumerically("<=", giveWay*full))
	}
	g.Expect(m.Pace(batch.Task{Job: "light"}, 1)).To(Equal(full))
}

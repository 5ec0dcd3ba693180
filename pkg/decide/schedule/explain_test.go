package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// The answer is of no use if it isn't what the scheduler then does.
func TestExplanationIsWhatTheSchedulerDoes(t *testing.T) {
	label := func(s *batch.Step) { s.RequiredLabel = "gpu" }
	for name, c := range map[string]struct {
		step    batch.Step
		queue   string
		want    []string
		waiting int
		reasons map[string]string
	}{
		"spread":        {testStep(3, 1000), "urgent", []string{"1:2", "2:1"}, 0, nil},
		"label":         {testStep(1, 1000, label), "urgent", []string{"2:1"}, 0, nil},
		"no room":       {testStep(1, 9000), "urgent", nil, 1, map[string]string{"1": "lacksCpu", "2": "lacksCpu", "3": "evacuated", "4": "draining"}},
		"partly":        {testStep(9, 1000), "urgent", []string{"1:4", "2:3"}, 2, map[string]string{"1": "lacksCpu", "2": "lacksCpu", "3": "evacuated", "4": "draining"}},
		"no such label": {testStep(1, 100, func(s *batch.Step) { s.RequiredLabel = "x" }), "urgent", nil, 1, map[string]string{"1": "lacksLabel", "2": "lacksLabel", "3": "evacuated", "4": "draining"}},
		"gang":          {testStep(5, 1000, func(s *batch.Step) { s.Gang = true }), "wide", []string{"1:3", "2:2"}, 0, nil},
		"large gang":    {testStep(8, 1000, func(s *batch.Step) { s.Gang = true }), "wide", nil, 8, map[string]string{"1": "eligible", "2": "eligible", "3": "evacuated", "4": "draining"}},
		"best effort":   {testStep(2, 2000, func(s *batch.Step) { s.BestEffort = true }), "wide", []string{"1:1", "2:1"}, 0, nil},
		"long-running":  {testStep(2, 1000, func(s *batch.Step) { s.LongRunning, s.Image = true, "x" }), "urgent", []string{"2:2"}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(workerIn("e", "1", 4000), workerIn("e", "2", 3000, "gpu"), workerIn("d", "3", 16000, "gpu"), workerIn("e", "4", 16000),
				batch.Worker{ID: "5", StartTime: 1, Service: "other", Capacity: batch.Resources{MilliCPU: 9000, MemoryMB: 9000}})
			f.setDraining("4")
			f.SetEvacuations([]string{"d"})
			j := testJob("j", c.queue, c.step)
			e := f.Explain(f.now, j).Steps[0]
			var got []string
			for _, p := range e.Placements {
				got = append(got, fmt.Sprint(p.Worker, ":", p.Tasks))
			}
			g.Expect(got).To(Equal(c.want))
			g.Expect(e.Waiting).To(Equal(c.waiting))
			reasons := map[string]string{}
			for _, x := range e.Exclusions {
				reasons[x.Worker] = x.Reason
			}
			if c.reasons == nil {
				c.reasons = map[string]string{}
			}
			g.Expect(reasons).To(Equal(c.reasons))
			f.Add(f.now, j, nil, false)
			placed := map[string]int{}
			for _, s := range f.scheduleAfter(0).Starts {
				placed[s.Key.ID]++
			}
			explained := map[string]int{}
			for _, p := range e.Placements {
				explained[p.Worker] += p.Tasks
			}
			g.Expect(placed).To(Equal(explained))
		})
	}
}

// Steps that wait for others don't take the room of those that are ready.
func TestStepsAreExplainedAsTheyBecomeReady(t *testing.T) {
	g := NewWithT(t)
	cold := workerIn("e", "1", 4000)
	cold.ColdRemaining = time.Second
	f := newHarness(cold)
	after := func(s *batch.Step) { s.DependsOn = []int{0} }
	e := f.Explain(f.now, testJob("j", "urgent", testStep(3, 1000), testStep(1, 1000, after), testStep(1, 1000), testStep(1, 1000)))
	g.Expect(e.Steps).To(HaveLen(4))
	g.Expect(e.Steps[0].Placements[0].Free.MilliCPU).To(Equal(4000))
	g.Expect(e.Steps[0].Placements[0].Cold).To(BeTrue())
	for i, waiting := range []int{0, 0, 0, 1} {
		g.Expect(e.Steps[i].Waiting).To(Equal(waiting), "step %d", i)
		g.Expect(e.Steps[i].Ready).To(Equal(i != 1))
	}
}

// A step that depends on others starts once they are done. If their tasks took room from it, its
// tasks would be said to wait beside room that is free by then.
func TestDependentStepIsExplainedWithoutThoseBeforeIt(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	after := func(s *batch.Step) { s.DependsOn = []int{0} }
	e := f.Explain(f.now, testJob("j", "urgent", testStep(4, 1000), testStep(4, 1000, after)))
	g.Expect(e.Steps[0].Waiting).To(Equal(0))
	g.Expect(e.Steps[1].Waiting).To(Equal(0))
	g.Expect(f.workerOf("1").reserved).To(Equal(batch.Resources{}))
}

// A question that reserves room, counts a start or moves the search on changes what happens to others.
func TestExplanationChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimWorld(t)
		m.trouble()
		state := func() string {
			out := fmt.Sprint(m.nextSearchStart, len(m.jobs), len(m.pendingStops), len(m.dirtyJobs), len(m.moves), len(m.holds))
			for _, w := range m.workerList {
				out += fmt.Sprint(" ", w.ID, w.reserved, len(w.tasks), len(w.victims), len(w.bestEffort), w.servingMilliCPU, w.bestEffortMilliCPU)
			}
			return out
		}
		before := state()
		for _, j := range m.jobs {
			if len(j.Steps) > 0 {
				m.Explain(m.now, j.Job)
				m.check("explain")
			}
		}
		if after := state(); after != before {
			t.Fatalf("%s\nis\n%s\nafterwards", before, after)
		}
	})
}

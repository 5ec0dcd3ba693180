package schedule

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// footprintJob returns a job of some steps, one after the other.
func footprintJob(id, steps, tasks, repeat int) *batch.Job {
	j := &batch.Job{ID: batch.JobID(fmt.Sprintf("%016x", id)), Queue: "wide", Spec: "text"}
	for i := range steps {
		s := testStep(tasks, 240)
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	if repeat > 0 {
		j.Repeat, j.Start, j.Interval = repeat, testStart.Add(time.Minute), time.Millisecond
	}
	return j
}

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Jobs of many tasks, steps or occurrences took memory for each of them from their submission on. What
// waiting jobs take must stay within the account by which entries refuse jobs, also when all occurrences are due.
func TestWaitingJobsStayWithinTheirFootprint(t *testing.T) {
	for name, c := range map[string]struct{ jobs, steps, tasks, repeat int }{
		"recurring":              {14, 1, 5, 8760},
		"recurring, many steps":  {14, 10, 1, 5000},
		"recurring, all at once": {30, 1, 1, 10000},
		"wide":                   {100, 1, 5000, 0},
		"many steps":             {100, 64, 78, 0},
		"small":                  {5000, 1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 10))
			before := heapBytes()
			for i := range c.jobs {
				f.Add(f.now, footprintJob(i, c.steps, c.tasks, c.repeat), nil, false)
			}
			added := heapBytes() - before
			// All occurrences are due, and none finds room.
			f.scheduleAfter(time.Hour)
			due := heapBytes() - before
			held, _ := f.Footprint()
			t.Logf("%d bytes a job as added, %d as due, account %d", added/int64(c.jobs), due/int64(c.jobs), held/int64(c.jobs))
			g.Expect(added).To(BeNumerically("<=", held))
			g.Expect(due).To(BeNumerically("<=", held))
			g.Expect(held).To(BeNumerically("<=", 16<<20), "a third of the smallest limit of the present machines")
			for i := range c.jobs {
				f.Cancel(f.now, batch.JobID(fmt.Sprintf("%016x", i)))
			}
			f.scheduleAfter(time.Second)
			f.DropDescriptions(f.now.Add(time.Second))
			held, _ = f.Footprint()
			ended := heapBytes() - before
			t.Logf("%d bytes an ended job, account %d", ended/int64(c.jobs), held/int64(c.jobs))
			g.Expect(ended).To(BeNumerically("<=", held+1<<20))
			runtime.KeepAlive(f)
		})
	}
}

// The progress of a job that runs for long held a row for each task that was done, until the store refused it and no end
// of any job was stored any more. Schedulers that take over at any time carry on from it and lose or repeat no task.
func TestProgressDoesNotGrowWithWhatIsDone(t *testing.T) {
	const maxValueBytes = 1 << 20
	rapid.Check(t, func(rt *rapid.T) {
		steps, tasks := rapid.IntRange(1, 3).Draw(rt, "steps"), rapid.IntRange(1, 40).Draw(rt, "tasks")
		repeat := rapid.IntRange(0, 60).Draw(rt, "repeat")
		j := footprintJob(1, steps, tasks, repeat)
		f := newHarness(testWorker("1", 24000))
		f.Add(f.now, j, nil, false)
		f.now = f.now.Add(time.Minute)
		seen := map[batch.Task]bool{}
		last, seq := f.Schedule(f.now), int64(0)
		running := last.Starts
		for n := 0; len(seen) < steps*tasks*max(repeat, 1); n++ {
			if n > 20000 {
				rt.Fatalf("%d of %d tasks done", len(seen), steps*tasks*max(repeat, 1))
			}
			if len(running) > 0 {
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "end")
				s := running[i]
				running = append(running[:i], running[i+1:]...)
				if seen[s.Task] {
					rt.Fatalf("%v is started again", s.Task)
				}
				seen[s.Task] = true
				seq++
				f.HandleEnds(f.now, s.Key, []batch.End{{Seq: seq, Task: s.Task, Number: s.Number, How: batch.Done}})
			}
			p, _ := f.Progress(j.ID)
			b, err := json.Marshal(p)
			if err != nil || len(b) > maxValueBytes || len(p.Tasks) > len(running) {
				rt.Fatalf("%d bytes, %d rows for %d running tasks, %v", len(b), len(p.Tasks), len(running), err)
			}
			if n%50 == 49 {
				var stored Progress
				if err := json.Unmarshal(b, &stored); err != nil {
					rt.Fatal(err)
				}
				now := f.now
				f = newHarness()
				f.now = now
				f.Add(now, j, &stored, true)
				var runs []batch.Run
				for _, s := range running {
					runs = append(runs, batch.Run{Task: s.Task, Number: s.Number})
				}
				f.SyncWorker(now, "h", testWorker("1", 24000), runs, nil)
				f.FinishRecovery()
			}
			f.now = f.now.Add(time.Second)
			running = append(running, f.Schedule(f.now).Starts...)
			if err := checkAccounts(f.Scheduler); err != nil {
				rt.Fatal(err)
			}
		}
		if s, _ := f.State(j.ID); s != batch.Running && s != batch.Completed || f.jobs[j.ID].state != batch.Completed {
			rt.Fatalf("state %v", f.jobs[j.ID].state)
		}
	})
}

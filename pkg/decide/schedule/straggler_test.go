package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// slowWorkerSim simulates workers of which one changes its speed at a given time.
type slowWorkerSim struct {
	*harness
	slowWorker string
	// slowFrom is when slowWorker changes to slowSpeed, as a share of full speed.
	slowFrom  time.Duration
	slowSpeed float64
	// taskTime is the duration of a task at full speed.
	taskTime   time.Duration
	runs       map[batch.Task]*slowWorkerRun
	stopOrders int
}

type slowWorkerRun struct {
	Start
	doneShare float64
	// stopTimeLeft is the time until an ordered stop is done; negative if none is ordered.
	stopTimeLeft time.Duration
}

// simulate advances time by d, and returns the offset of the last start or completion.
func (f *slowWorkerSim) simulate(d time.Duration) time.Duration {
	f.runs = map[batch.Task]*slowWorkerRun{}
	const step = 50 * time.Millisecond
	last := time.Duration(0)
	for at := time.Duration(0); at < d; at += step {
		o := f.scheduleAfter(step)
		for _, s := range o.Starts {
			f.confirmStart(s)
			f.runs[s.Task] = &slowWorkerRun{Start: s, stopTimeLeft: -1}
			last = at
		}
		for _, s := range o.Stops {
			f.stopOrders++
			f.runs[s.Task].stopTimeLeft = 400 * time.Millisecond
		}
		rows := map[batch.WorkerKey][]batch.Run{}
		for t, r := range f.runs {
			speed := 1.0
			if r.Key.ID == f.slowWorker && at >= f.slowFrom {
				speed = f.slowSpeed
			}
			if r.doneShare += speed * step.Seconds() / f.taskTime.Seconds(); r.doneShare >= 1 {
				f.endRun(r.Start, batch.Done)
				delete(f.runs, t)
				last = at
				continue
			}
			if r.stopTimeLeft >= 0 {
				if r.stopTimeLeft -= step; r.stopTimeLeft < 0 {
					f.endRun(r.Start, batch.Stopped)
					delete(f.runs, t)
				}
			}
			rows[r.Key] = append(rows[r.Key], batch.Run{Task: t, Number: r.Number, ProgressPercent: int(100 * r.doneShare), Pace: 100})
		}
		if at%batch.LoadWindow == 0 {
			for k, rs := range rows {
				f.HandleProgress(f.now, k, rs, false)
			}
		}
	}
	return last
}

func newSlowWorkerSim(workers int) *slowWorkerSim {
	var ws []batch.Worker
	for i := range workers {
		ws = append(ws, testWorker(fmt.Sprint("w", i), 8000))
	}
	return &slowWorkerSim{harness: newHarness(ws...), slowWorker: "w0", taskTime: time.Second}
}

// If one of eight workers becomes slow or stalls, a wide step ends about as early
// as without it, instead of waiting for the slowest task.
func TestStragglersAreRestartedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		slowSpeed float64
		within    time.Duration
	}{
		"none":             {1, 2 * time.Second},
		"six times slower": {1.0 / 6, 4 * time.Second},
		"stalled worker":   {0, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newSlowWorkerSim(8)
			f.slowSpeed, f.slowFrom = c.slowSpeed, 200*time.Millisecond
			f.Add(f.now, testJob("j", "urgent", testStep(16, 1000)), nil, false)
			g.Expect(f.simulate(20 * time.Second)).To(BeNumerically("<", c.within))
			p, _ := f.Progress("j")
			g.Expect(p.State).To(Equal(batch.Completed))
			if c.slowSpeed == 1 {
				g.Expect(f.stopOrders).To(BeZero())
			}
		})
	}
}

// A worker that delayed runs is quarantined and gets no new ones meanwhile.
func TestSlowWorkerIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	f := newSlowWorkerSim(8)
	f.slowSpeed = 1.0 / 6
	f.Add(f.now, testJob("j", "urgent", testStep(16, 1000)), nil, false)
	f.simulate(2 * time.Second)
	f.Add(f.now, testJob("next", "urgent", testStep(16, 1000)), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		g.Expect(s.Key.ID).NotTo(Equal(f.slowWorker))
	}
}

// Tasks that all take many times their estimates are not stopped as stragglers.
func TestUnderestimatedTasksAreNotStragglers(t *testing.T) {
	g := NewWithT(t)
	f := newSlowWorkerSim(4)
	f.slowSpeed, f.taskTime = 1, 15*time.Second
	f.Add(f.now, testJob("j", "urgent", testStep(6, 1000)), nil, false)
	g.Expect(f.simulate(20 * time.Second)).To(BeNumerically("<", 16*time.Second))
	g.Expect(f.stopOrders).To(BeZero())
}

package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// simulateFlood submits a flood of jobs to a scheduler with one worker, one job per
// interval, and returns how many complete within their objective.
func simulateFlood(jobs int, interval time.Duration, width func(int) int) int {
	f := newHarness(testWorker("1", 8000))
	type running struct {
		s   Start
		end time.Time
	}
	var active []running
	inTime := 0
	submittedAt := map[batch.JobID]time.Time{}
	for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
		f.now = testStart.Add(now)
		if n := int(now / interval); n < jobs && now%interval == 0 {
			j := testJob(fmt.Sprintf("j%03d", n), "wide", testStep(width(n), 1000))
			j.Accepted = f.now
			submittedAt[j.ID] = f.now
			f.Add(f.now, j, nil, false)
		}
		var remaining []running
		for _, r := range active {
			if f.now.Before(r.end) {
				remaining = append(remaining, r)
				continue
			}
			f.endRun(r.s, batch.Done)
			if p, _ := f.Progress(r.s.Task.Job); p.State == batch.Completed && f.now.Sub(submittedAt[r.s.Task.Job]) <= 3*time.Second {
				inTime++
			}
		}
		active = remaining
		o := f.Schedule(f.now)
		for _, s := range o.Starts {
			f.confirmStart(s)
			active = append(active, running{s, f.now.Add(time.Second)})
		}
	}
	return inTime
}

// simulateFIFO returns how many jobs complete within their objective if the same
// load is served first come, first served: all jobs that arrive once the queue
// takes 2 s miss it.
func simulateFIFO(jobs int, interval time.Duration, width func(int) int) int {
	const slots = 8
	free := make([]time.Duration, slots)
	inTime := 0
	for n := range jobs {
		at := time.Duration(n) * interval
		var end time.Duration
		for range width(n) {
			best := 0
			for i := range free {
				if free[i] < free[best] {
					best = i
				}
			}
			free[best] = max(free[best], at) + time.Second
			end = max(end, free[best])
		}
		if end-at <= 3*time.Second {
			inTime++
		}
	}
	return inTime
}

// At a load of one and a half times the capacity, jobs that can still complete in
// time are started before jobs that are late, so that more jobs complete in time
// than in the order of arrival.
func TestOverloadCompletesMoreInTimeThanFIFO(t *testing.T) {
	width := func(n int) int { return 2 + (n*7)%9 }
	const jobs, interval = 40, 500 * time.Millisecond
	base := simulateFIFO(jobs, interval, width)
	got := simulateFlood(jobs, interval, width)
	t.Logf("in time: %d of %d, first come first served %d", got, jobs, base)
	NewWithT(t).Expect(got).To(BeNumerically(">", base))
}

// The scheduler learns from tail latencies which image interferes with a
// latency-critical task, keeps tasks of that image away from it, and still
// places those of other images.
func TestBestEffortTasksAvoidVictimsOfTheirInterference(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 16000), testWorker("2", 16000))
	serve := func(s *batch.Step) {
		s.LongRunning, s.Image, s.LatencyTarget, s.MaxPerWorker = true, "serve", 50*time.Millisecond, 1
	}
	f.Add(f.now, testJob("l", "urgent", testStep(2, 8000, serve)), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
	}
	key := func(id string) batch.WorkerKey { return batch.WorkerKey{ID: id, StartTime: 1} }
	fill := func(image string) func(*batch.Step) {
		return func(s *batch.Step) { s.BestEffort, s.Image = true, image }
	}
	f.scheduleAfter(3 * time.Second)
	f.Add(f.now, testJob("heavy", "wide", testStep(1, 2000, fill("heavy"))), nil, false)
	h := f.scheduleAfter(0).Starts[0]
	f.confirmStart(h)
	other := "1"
	if h.Key.ID == "1" {
		other = "2"
	}
	at := map[string]batch.Task{}
	for _, w := range f.workers {
		for id, x := range w.tasks {
			if x.step.LongRunning {
				at[w.ID] = id
			}
		}
	}
	for range 20 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.HandleProgress(f.now, key(other), []batch.Run{{Task: at[other], Number: 1, Load: 15, ProgressPercent: 100}}, false)
		f.HandleProgress(f.now, key(h.Key.ID), []batch.Run{
			{Task: at[h.Key.ID], Number: 1, Load: 60, ProgressPercent: 100}, {Task: h.Task, Number: 1, Load: 2000, ProgressPercent: 50, Pace: 100},
		}, false)
	}
	g.Expect(f.interference.Weight("serve", "heavy")).To(BeNumerically(">", 0.5))
	f.endRun(h, batch.Done)
	f.now = f.now.Add(500 * time.Millisecond)
	for _, id := range []string{"1", "2"} {
		f.HandleProgress(f.now, key(id), []batch.Run{{Task: at[id], Number: 1, Load: 24, ProgressPercent: 100}}, false)
	}
	f.Add(f.now, testJob("again", "wide", testStep(1, 2000, fill("heavy"))), nil, false)
	f.Add(f.now, testJob("harmless", "wide", testStep(1, 2000, fill("light"))), nil, false)
	var placed []string
	for _, s := range f.scheduleAfter(0).Starts {
		placed = append(placed, string(s.Task.Job))
	}
	g.Expect(placed).To(Equal([]string{"harmless"}))
	g.Expect(f.scheduleAfter(bestEffortWaitLimit).Starts).To(HaveLen(1), "starts at the wait limit, as no task of it runs")
}

// A best-effort task that its host throttles is moved to a worker where it isn't:
// at once if it keeps its progress, after two windows if it would lose it, and
// not at all once most of it is done.
func TestThrottledBestEffortTaskMoves(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		percent     int
		// slowReports is how many reports of a slow pace it takes to move the task; 0 if it stays.
		slowReports int
	}{
		"keeps its progress":          {true, 20, 1},
		"keeps it, nearly done":       {true, 90, 1},
		"would lose it":               {false, 20, 3},
		"would lose most of its work": {false, maxMovePercent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 16000))
			f.Add(f.now, testJob("j", "wide", testStep(1, 2000, func(s *batch.Step) { s.BestEffort, s.Image, s.Checkpoints = true, "x", c.checkpoints })), nil, false)
			s := f.scheduleAfter(0).Starts[0]
			f.confirmStart(s)
			f.SyncWorker(f.now, "h2", testWorker("2", 16000), nil, nil)
			report := func(pace int) Orders {
				f.now = f.now.Add(500 * time.Millisecond)
				f.HandleProgress(f.now, s.Key, []batch.Run{{Task: s.Task, Number: 1, Pace: pace, ProgressPercent: c.percent, Checkpoint: "half"}}, true)
				return f.Schedule(f.now)
			}
			g.Expect(report(100).Stops).To(BeEmpty())
			for range c.slowReports - 1 {
				g.Expect(report(10).Stops).To(BeEmpty())
			}
			if c.slowReports == 0 {
				for range 10 {
					g.Expect(report(10).Stops).To(BeEmpty())
				}
				return
			}
			g.Expect(report(10).Stops).To(HaveLen(1))
			f.endRun(s, batch.Stopped)
			next := f.scheduleAfter(0).Starts
			g.Expect(next).To(HaveLen(1))
			g.Expect(next[0].Checkpoint).To(Equal("half"))
		})
	}
}

package schedule

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// startRateTime is the time over which starts are counted.
const startRateTime = 20 * time.Second

// A long-running task that fails wherever it runs takes few starts, however many workers have room for it.
func TestTasksThatAlwaysFailTakeFewStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimWorld(t)
		m.calm = true
		m.drawWorkers()
		var failing []*simJob
		for range rapid.IntRange(1, 3).Draw(t, "failing jobs") {
			j := m.drawJob(true)
			j.failsAlways = true
			failing = append(failing, j)
		}
		for range rapid.IntRange(0, 2).Draw(t, "other jobs") {
			m.drawJob(rapid.Bool().Draw(t, "long-running"))
		}
		for range int(startRateTime / (100 * time.Millisecond)) {
			m.pass(100 * time.Millisecond)
		}
		for _, j := range failing {
			tasks := 0
			for _, st := range j.Steps {
				tasks += st.Count
			}
			if n := m.startsOf[j.ID]; n > tasks*int(startRateTime/time.Second) {
				t.Fatalf("%d tasks of job %s, which fail always, were started %d times in %s", tasks, j.ID, n, startRateTime)
			}
		}
	})
}

// A worker that fails all it starts takes few starts after those that show it. As long as
// it fails the tasks of one job only, that job may be the cause, and each task is paused by itself.
func TestWorkerThatAlwaysFailsTakesFewStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimWorld(t)
		m.calm = true
		m.drawWorkers()
		bad := m.drawnWorker()
		bad.failing = true
		for range rapid.IntRange(1, 4).Draw(t, "long-running jobs") {
			m.drawJob(true)
		}
		shown, jobs := 0, 0
		for k := range int(startRateTime / (100 * time.Millisecond)) {
			if k%10 == 0 && rapid.Bool().Draw(t, "short job") {
				m.drawJob(false)
			}
			m.pass(100 * time.Millisecond)
			if m.now.Sub(testStart) <= minQuarantine {
				shown, jobs = m.startsOn[bad.ID], len(m.jobsOn[bad.ID])
			}
		}
		perSecond := 1
		if jobs < 2 {
			perSecond = max(1, len(m.lastRunAt))
		}
		if n := m.startsOn[bad.ID] - shown; n > perSecond*int((startRateTime-minQuarantine)/time.Second) {
			t.Fatalf("worker %s, which fails all, was given %d starts after the first %d of %d jobs, in %s", bad.ID, n, shown, jobs, startRateTime-minQuarantine)
		}
	})
}

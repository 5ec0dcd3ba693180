package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// maxIdleBesideRoom is how long a long-running task may have no run beside room for two of its kind.
	maxIdleBesideRoom = 3 * time.Second
	// calmBefore is how long everything is calm before that time counts.
	calmBefore = 4 * time.Second
	// calmTime is the length of the calm phase.
	calmTime = 12 * time.Second
)

// hasRoomFor reports whether w may take two further tasks of a step beside what it really runs.
func (m *simWorld) hasRoomFor(w *simWorker, id batch.Task, st *batch.Step) bool {
	j := m.jobs[id.Job]
	if !w.connected || w.Draining || m.evacuated[w.DataCentre] || st.RequiredLabel != "" && !w.HasLabel(st.RequiredLabel) || j.Queue == "advised" && j.denied[w.ID] {
		return false
	}
	siblings := 0
	for x := range w.runs {
		if x.Job == id.Job && x.Step == id.Step {
			siblings++
		}
	}
	if st.MaxPerWorker > 0 && siblings >= st.MaxPerWorker {
		return false
	}
	return st.Need.Plus(st.Need).Fits(w.Capacity.Minus(w.used()))
}

// isRunning reports whether a task really runs.
func (m *simWorld) isRunning(id batch.Task) bool {
	for _, w := range m.workers {
		if w.runs[id] != nil {
			return true
		}
	}
	return false
}

// After any mix of troubles, each long-running task runs again where there is room for it.
func TestLongRunningTasksRunOnceItIsCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimWorld(t)
		m.trouble()
		m.calmDown()
		m.checkCalm()
		m.checkFree()
	})
}

// Tasks that fail wherever they run don't keep the others from running.
func TestLongRunningTasksRunBesideOnesThatAlwaysFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playBesideFailing(t, func(m *simWorld) {
			for k := range rapid.IntRange(1, 2).Draw(t, "failing tasks") {
				j := endlessJob(fmt.Sprint("fails", k), 1, simDraw(m, "cpu", 500, 1000, 2000))
				m.addJob(&simJob{Job: j, failsAlways: true})
			}
		})
	})
}

// Neither do jobs of several such steps and tasks, of which some need the advice of the policy service.
func TestLongRunningTasksRunBesideJobsThatAlwaysFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playBesideFailing(t, func(m *simWorld) {
			for range rapid.IntRange(1, 2).Draw(t, "failing jobs") {
				m.drawJob(true).failsAlways = true
			}
		})
	})
}

// playBesideFailing plays a calm world in which the added jobs fail whatever they start.
func playBesideFailing(t *rapid.T, addFailing func(*simWorld)) {
	m := newSimWorld(t)
	m.calm = true
	m.drawWorkers()
	addFailing(m)
	m.drawJob(true)
	for range rapid.IntRange(0, 4).Draw(t, "passes") {
		m.pass(500 * time.Millisecond)
	}
	m.drawJob(true)
	m.calmDown()
	m.checkCalm()
	m.checkFree()
}

// checkCalm plays the calm phase and fails the example if a long-running task has no run beside room for it.
func (m *simWorld) checkCalm() {
	calmFrom := m.now
	type place struct {
		id batch.Task
		w  *simWorker
	}
	roomSince := map[place]time.Time{}
	for m.now.Sub(calmFrom) < calmTime {
		m.pass(100 * time.Millisecond)
		for _, id := range slices.SortedFunc(maps.Keys(m.lastRunAt), compareTasks) {
			j := m.jobs[id.Job]
			from := later(m.lastRunAt[id].Add(maxLongRunningWait), calmFrom.Add(calmBefore))
			for _, w := range m.workers {
				p := place{id, w}
				if j.cancelled || j.failsAlways || m.now.Before(from) || m.isRunning(id) || !m.hasRoomFor(w, id, &j.Steps[id.Step]) {
					delete(roomSince, p)
					continue
				}
				if roomSince[p].IsZero() {
					roomSince[p] = m.now
				}
				if m.now.Sub(roomSince[p]) >= maxIdleBesideRoom {
					m.t.Fatalf("%v has no run, %s after the last, %s into the calm; worker %s has had room for two for %s; the scheduler says %s",
						id, m.now.Sub(m.lastRunAt[id]), m.now.Sub(calmFrom), w.ID, m.now.Sub(roomSince[p]), m.whyWaiting(id))
				}
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// whyWaiting returns why the workers aren't given a task.
func (m *simWorld) whyWaiting(id batch.Task) string {
	x := m.findTask(id)
	if x == nil {
		return "unknown task"
	}
	s := m.newSearch(m.now, x.step, "", nil)
	out := ""
	for _, w := range m.workerList {
		out += w.ID + ":" + exclusionNames[s.exclude(x, w)] + " "
	}
	return out
}

// checkFree compares the free resources that the scheduler counts with those of the workers.
func (m *simWorld) checkFree() {
	for _, w := range m.workers {
		if !w.connected {
			continue
		}
		x := m.Scheduler.workers[w.Key()]
		kept := batch.Resources{}
		for _, y := range m.moves {
			if y.to == x {
				kept = kept.Plus(reservation(y.task.step.Step))
			}
		}
		if free := w.Capacity.Minus(w.used()).Minus(kept); x.freeResources() != free {
			m.t.Fatalf("worker %s has %+v free, for the scheduler %+v", w.ID, free, x.freeResources())
		}
	}
}

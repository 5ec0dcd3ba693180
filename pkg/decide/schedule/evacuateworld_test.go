package schedule

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// evacuationEvents are the kinds of random events of a world with evacuations, several of which are these.
var evacuationEvents = append(slices.Clone(simEvents),
	simEvent{"evacuation", (*simWorld).toggleEvacuation}, simEvent{"evacuation", (*simWorld).toggleEvacuation},
	simEvent{"evacuation", (*simWorld).toggleEvacuation}, simEvent{"evacuation", (*simWorld).toggleEvacuation},
)

// toggleEvacuation requests the evacuation of a data centre or ends it.
func (m *simWorld) toggleEvacuation() {
	d := simDraw(m, "data centre", "d", "e", "nowhere", "")
	if m.evacuated[d] {
		delete(m.evacuated, d)
	} else {
		m.evacuated[d] = true
	}
	m.SetEvacuations(slices.Sorted(maps.Keys(m.evacuated)))
}

// checkEvacuationStop fails the example if a run at work is stopped for an evacuation while another
// task of its step isn't at work, which is one more than the caller lets be away.
func (m *simWorld) checkEvacuationStop(x Stop) {
	if m.evacuated == nil || x.Reason != evacuationReason {
		return
	}
	w := m.workerByKey(x.Key)
	if w == nil || w.runs[x.Task] == nil || !w.runs[x.Task].step.LongRunning || w.runs[x.Task].percent(m.now) < atWorkPercent {
		// The start went unanswered.
		return
	}
	if slices.ContainsFunc(w.unanswered, func(s simStart) bool { return s.Task == x.Task }) {
		return
	}
	for n := range w.runs[x.Task].step.Count {
		id := batch.Task{Job: x.Task.Job, Occurrence: x.Task.Occurrence, Step: x.Task.Step, Index: n}
		if id != x.Task && !slices.ContainsFunc(m.workers, func(o *simWorker) bool {
			r := o.runs[id]
			return r != nil && o.connected && r.endsAt.IsZero() && r.percent(m.now) >= atWorkPercent
		}) {
			m.t.Fatalf("%v is stopped for an evacuation while %v isn't at work", x.Task, id)
		}
	}
}

// Requests that come and go among all other troubles start a task in an evacuated data centre, take
// a second task of a step away, leave room reserved for a move that has ended, or keep a
// long-running task from a worker for good.
func TestEvacuationsAmongTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimWorld(t)
		m.evacuated = map[string]bool{}
		m.trouble()
		m.calmDown()
		if m.chance("ends", 50) {
			clear(m.evacuated)
			m.SetEvacuations(nil)
		}
		m.checkCalm()
		m.checkFree()
	})
}

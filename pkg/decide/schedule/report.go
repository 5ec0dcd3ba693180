package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Join takes in all that a worker knows under a new fence: no order of before
// can be carried out there any more. It returns the runs that go on.
func (s *Scheduler) Join(now time.Time, host string, b batch.Worker, running []batch.Run, ended []batch.End) []batch.Task {
	w := s.workers[b.Key()]
	if w == nil {
		w = &worker{tasks: map[batch.Task]*task{}}
		s.workers[b.Key()] = w
		s.fleet = append(s.fleet, w)
	}
	w.Worker, w.host, w.silent = b, host, false
	w.drains(now)
	for _, e := range ended {
		s.end(now, w, e)
	}
	for id := range w.strays {
		w.strayed(id)
	}
	there := map[batch.Task]bool{}
	var kept []batch.Task
	var strays []*task
	for _, r := range running {
		t := s.task(r.Task)
		switch {
		case t != nil && t.worker == w && t.run == r.Number:
			t.there = true
		case t != nil && t.worker == nil && !t.done && !t.step.job.state.Final():
			t.assign(w, r.Number, now)
			t.there = true
			t.step.run = max(t.step.run, r.Number)
		case t != nil && t.worker != nil && t.worker.before(w) && t.run == r.Number && !t.stopping && !t.done && !t.step.job.state.Final():
			// A start that was meant for the life before was carried out by this one.
			t.release()
			t.assign(w, r.Number, now)
			t.there = true
		default:
			s.stops = append(s.stops, Stop{Key: w.Key(), Host: host, Task: r.Task, Number: r.Number, Why: "not assigned"})
			if t != nil {
				strays = append(strays, t)
			}
			continue
		}
		there[r.Task] = true
		kept = append(kept, r.Task)
		t.see(now, r)
	}
	for id, t := range w.tasks {
		if !there[id] {
			// Neither running nor ended: the start was never carried out.
			t.release()
		} else if t.stopping {
			s.stop(t, "again")
		}
	}
	for _, t := range strays {
		w.stray(t)
	}
	return kept
}

func (s *Scheduler) task(id batch.Task) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.find(id)
}

// see takes in a row of a worker's list.
func (t *task) see(now time.Time, r batch.Run) {
	switch {
	case t.seen.IsZero():
		t.seen, t.rose, t.from = now, now, r.Percent
	case r.Percent > t.percent:
		t.rose = now
	}
	t.percent, t.told = r.Percent, now
	if r.Saved != "" {
		t.saved = r.Saved
		if t.step.Gang {
			t.step.saved = r.Saved
		}
	}
}

// Update takes in what a worker says of itself.
func (s *Scheduler) Update(now time.Time, b batch.Worker) {
	w := s.workers[b.Key()]
	if w == nil {
		return
	}
	w.Worker = b
	w.drains(now)
}

// Silent says that a host isn't heard; its runs stay where they are.
func (s *Scheduler) Silent(host string) {
	for _, w := range s.fleet {
		if w.host == host {
			w.silent = true
		}
	}
}

// Gone says that nothing runs on a life of a worker any more.
func (s *Scheduler) Gone(k batch.WorkerKey) int {
	w := s.workers[k]
	if w == nil {
		return 0
	}
	delete(s.workers, k)
	s.fleet = slices.DeleteFunc(s.fleet, func(x *worker) bool { return x == w })
	n := len(w.tasks)
	for _, t := range w.tasks {
		t.release()
	}
	return n
}

// Ended takes in the ends that a worker lists.
func (s *Scheduler) Ended(now time.Time, k batch.WorkerKey, ends []batch.End) {
	w := s.workers[k]
	if w == nil {
		return
	}
	for _, e := range ends {
		s.end(now, w, e)
	}
}

func (s *Scheduler) end(now time.Time, w *worker, e batch.End) {
	w.strayed(e.Task)
	t := s.task(e.Task)
	if t == nil {
		return
	}
	j := t.step.job
	mine := t.worker == w && t.run == e.Number
	if e.How == batch.Failed {
		// Each failed run counts, whoever started it.
		s.failed(now, w, t, e.Number)
	}
	// An earlier scheduler may have started it: what nobody runs now may have
	// ended there. Work that is done stays done, whatever else was started since.
	if !mine && (t.done || e.How != batch.Done && (t.worker != nil || e.Number < t.run)) {
		return
	}
	if mine || t.worker == nil {
		t.run = max(t.run, e.Number)
	}
	t.step.run = max(t.step.run, e.Number)
	if e.Saved != "" {
		t.saved = e.Saved
		if t.step.Gang {
			t.step.saved = e.Saved
		}
	}
	began := t.started
	if mine {
		t.release()
	}
	s.dirty[j.ID] = true
	if e.How == batch.Done {
		if mine {
			s.took(now, w, t, began)
		}
		s.done(now, t)
	}
}

// took takes in what a done run that began then tells of its worker.
func (s *Scheduler) took(now time.Time, w *worker, t *task, began time.Time) {
	d := now.Sub(began)
	if !t.step.Fills && t.step.peers.Slow(d) {
		s.straggles(now, w, t.id.Job)
	} else if w.health.done(began) {
		s.suspect(w, "a run was done", t.id.Job)
	}
	t.step.peers.Add(d)
}

func (s *Scheduler) done(now time.Time, t *task) {
	j := t.step.job
	if t.step.Lasting {
		return
	}
	t.complete()
	if t.worker != nil && !t.stopping {
		s.stop(t, "done elsewhere")
	}
	if t.step.Gang {
		// One end stands for all members.
		for _, o := range t.step.tasks {
			o.complete()
		}
	}
	if j.left == 0 && !j.state.Final() {
		j.finish(now, batch.Completed)
	}
}

// failed counts a failed run of t, and ends the job where it was the last attempt.
func (s *Scheduler) failed(now time.Time, w *worker, t *task, run int) {
	j := t.step.job
	before := t.attempts()
	t.failures = insert(t.failures, run)
	if t.step.Gang {
		t.step.failures = insert(t.step.failures, run)
	}
	if t.attempts() == before {
		return
	}
	t.avoid, t.failed = w.Machine, now
	works := j.works()
	if works || j.failedOn == "" || j.failedOn == w.Machine {
		// A job of which nothing was done and that failed elsewhere too is to blame itself.
		s.fails(now, w, j.ID, works)
	}
	if j.failedOn == "" {
		j.failedOn = w.Machine
	}
	s.dirty[j.ID] = true
	if t.step.Lasting || j.state.Final() {
		return
	}
	if t.attempts() >= s.terms(j).MaxAttempts {
		j.finish(now, batch.JobFailed)
		s.stopAll(j, "job failed")
	}
}

// Started takes in what became of a start. A refused run isn't there and won't be.
func (s *Scheduler) Started(now time.Time, k batch.WorkerKey, id batch.Task, run int, refused, unhealthy, old bool) {
	t := s.task(id)
	if t == nil || t.worker == nil || t.worker.Key() != k || t.run != run {
		return
	}
	if !refused {
		t.there = true
		t.started = now
		return
	}
	if old {
		t.run += unheardStarts
		t.step.run = max(t.step.run, t.run)
	}
	if unhealthy {
		s.fails(now, t.worker, id.Job, false)
		t.avoid = t.worker.Machine
	}
	t.release()
	t.again = now.Add(refusedPause)
}

// refusedPause is how long a task waits after a worker refused it; a look at the worker takes as long.
const refusedPause = 250 * time.Millisecond

// Progressed takes in how the runs of a worker get on.
func (s *Scheduler) Progressed(now time.Time, k batch.WorkerKey, runs []batch.Run, squeezed bool) {
	w := s.workers[k]
	if w == nil {
		return
	}
	used, best := 0, 0.0
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t == nil || t.run != r.Number {
			continue
		}
		t.see(now, r)
		if t.step.TailTarget > 0 && r.Load > 0 {
			t.tail = tail{time.Duration(r.Load) * time.Millisecond, now}
		}
		if t.step.Fills {
			t.held(now, r.Pace)
		}
		if t.step.Fills && now.Sub(t.started) > loadAge && t.step.Need.MilliCPU > 0 {
			used += r.Load
			best = max(best, float64(r.Load)/float64(t.step.Need.MilliCPU))
		}
	}
	s.learn(now, w, runs)
	// Where no filling task gets near what it asks for, what they use is all that is left.
	if used > 0 && best < starved && !squeezed {
		w.leftover = leftover{seen: used, at: now}
	}
}

// starved is the share of its need below which a filling task lacks processor
// time; some use only two thirds of it by themselves.
const starved = 0.6

// loadAge is how long a run has to be there until its load covers half a second of work.
const loadAge = time.Second

// Host returns the host of a worker.
func (s *Scheduler) Host(k batch.WorkerKey) (string, bool) {
	w := s.workers[k]
	if w == nil {
		return "", false
	}
	return w.host, true
}

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// awaitCompleted waits until all jobs are shown as completed, and reports whether they are.
func (r *rig) awaitCompleted(jobs []*job, limit time.Duration) bool {
	return waitFor(limit, func() bool {
		for _, j := range jobs {
			if r.state(r.entries[0], j.ID) != "completed" {
				return false
			}
		}
		return true
	})
}

// lateNoticeOfLeave cuts a worker off while it leaves as planned. The notice that it leaves arrives
// after the cut, when its next life is at work.
func lateNoticeOfLeave(r *rig, trouble bool) error {
	if err := r.open(3, 11); err != nil {
		return err
	}
	for i, p := range r.agents {
		w, err := r.newWorker(p, fmt.Sprintf("i-7f3a91%02d", i+1), 16000, 64000)
		if err != nil {
			return err
		}
		go w.beat(p.addr(portControl))
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	first, control := r.workers[0], r.agents[0].addr(portControl)
	// The connection of the notice is open before the cut.
	notice, err := net.Dial("tcp", control)
	if err != nil {
		return err
	}
	defer notice.Close()
	first.drain()
	time.Sleep(5 * time.Second)
	send := func() {
		r.rec.add(first.id, "its notice that it leaves arrives: DELETE /api/instances/%s", first.id)
		_, _ = fmt.Fprintf(notice, "DELETE /api/instances/%s HTTP/1.1\r\nHost: %s\r\n\r\n", first.id, control)
	}
	r.rec.add(first.id, "sends DELETE /api/instances/%s and ends; cut off: %v", first.id, trouble)
	if !trouble {
		send()
	}
	time.Sleep(200 * time.Millisecond)
	first.end()
	time.Sleep(2500 * time.Millisecond)
	r.rec.add("case", "the cut ends")
	next, err := r.newWorker(r.agents[0], first.id, 16000, 64000)
	if err != nil {
		return err
	}
	go next.beat(control)
	if !waitFor(5*time.Second, func() bool { return next.highestFence() > first.highestFence() }) {
		return fmt.Errorf("%w: the next life isn't polled", errNotReady)
	}
	// The agent reports the life with its first poll.
	time.Sleep(200 * time.Millisecond)
	var all []*job
	for i := range 12 {
		j := r.newJob([]step{{Count: 8, CPU: 400, MemMb: 500, EstDurationMs: 4000}}, 4*time.Second)
		all = append(all, j)
		r.submit(r.entries[i%3], j)
	}
	if !waitFor(5*time.Second, func() bool { return next.running() >= 4 }) {
		return fmt.Errorf("%w: the next life has %d tasks", errNotReady, next.running())
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		send()
	}
	r.rec.add("case", "all jobs are shown as completed: %v", r.awaitCompleted(all, 30*time.Second))
	return nil
}

// drain makes the worker report that it drains, and sends a heartbeat at once.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.rig.rec.add(w.id, "drains")
}

// idleSince returns for how long an accepted job has had nothing running though it isn't done; 0 if it
// is, or has.
func (r *rig) idleSince(j *job) time.Duration {
	var last time.Time
	for i := range j.Steps {
		done := 0
		for n := range j.Steps[i].Count {
			for _, x := range r.checks.runsOf(fmt.Sprintf("%s.0.%d.%d", j.ID, i, n)) {
				if x.to.IsZero() {
					return 0
				}
				if x.how == "done" {
					done++
				}
				if x.to.After(last) {
					last = x.to
				}
			}
		}
		if done < j.Steps[i].Count {
			if last.Before(j.acceptedAt) {
				last = j.acceptedAt
			}
			return time.Since(last)
		}
	}
	return 0
}

// finishTime is finish_s of the settings.
const finishTime = 14 * time.Second

// checkFinished reports the jobs of two steps that have nothing running though a task's turn has come.
func (r *rig) checkFinished(jobs []*job) {
	lost := 0
	for _, j := range jobs {
		state := r.state(r.entries[0], j.ID)
		if state == "completed" {
			continue
		}
		lost++
		if waits := r.idleSince(j); waits > 3*time.Second && r.usedShare() < 0.5 {
			r.checks.fail("LOST", "%v after the end of the traffic %s is shown as %q, and has had nothing running for %.1f s though a task's turn has come and %.0f%% of the capacity is in use",
				finishTime, j.ID, state, waits.Seconds(), 100*r.usedShare())
		}
	}
	r.rec.add("case", "%d of %d small jobs aren't shown as completed", lost, len(jobs))
}

// burstOfAdvice hands in jobs on a queue with advice, for a few seconds 2.6 times as many.
func burstOfAdvice(r *rig, trouble bool) error {
	r.advice = &advice{
		decision: 30 * time.Millisecond, perWorker: 3 * time.Millisecond, valid: time.Minute,
		lines: map[string]*sync.Mutex{}, waits: map[string]int{}, steps: map[string]bool{},
	}
	if err := r.open(3, 11); err != nil {
		return err
	}
	for i, p := range r.agents {
		w, err := r.newWorker(p, fmt.Sprintf("i-7f3a91%02d", i+1), 16000, 64000)
		if err != nil {
			return err
		}
		go w.beat(p.addr(portControl))
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	const interval, traffic = time.Second / 6, 60 * time.Second
	const burst, burstFrom, burstTo = 2.6, 10 * time.Second, 14 * time.Second
	first := step{Count: 6, CPU: 240, MemMb: 480, EstDurationMs: 1000}
	next := first
	next.After = []int{0}
	began := time.Now()
	var jobs []*job
	var submits sync.WaitGroup
	for n, logged := 0, 0; time.Since(began) < traffic; n++ {
		j := r.newJob([]step{first, next}, time.Second)
		jobs = append(jobs, j)
		submits.Go(func() { r.submit(r.entries[n%3], j) })
		pause := interval
		if at := time.Since(began); trouble && at >= burstFrom && at < burstTo {
			pause = time.Duration(float64(pause) / burst)
		}
		time.Sleep(pause)
		if s := int(time.Since(began).Seconds()); s > logged {
			logged = s
			calls, steps := r.advice.counts()
			r.rec.add("case", "%d jobs handed in, %d calls for advice on %d steps, %.0f%% of the capacity in use", n+1, calls, steps, 100*r.usedShare())
		}
	}
	submits.Wait()
	r.rec.add("case", "the traffic ends")
	time.Sleep(finishTime)
	calls, steps := r.advice.counts()
	r.rec.add("case", "%d calls for advice on %d steps", calls, steps)
	r.checkFinished(jobs)
	return nil
}

// lateCall is a call that got no answer and is carried out later.
type lateCall struct {
	path  string
	order order
}

// firstLate leaves the first call of each of the given paths unanswered, each once the one before it
// was taken, and returns a channel of these calls.
func (w *worker) firstLate(paths ...string) <-chan lateCall {
	calls := make(chan lateCall, len(paths))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = func(path string, o *order) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(paths) == 0 || path != paths[0] || path == "/api/hold" && (o.UntilMs == 0 || o.SeenUpto == 0) {
			return false
		}
		paths = paths[1:]
		calls <- lateCall{path, *o}
		return true
	}
	return calls
}

// openWithEnds opens the deployment of the sheet, and returns a worker that has had ends
// acknowledged.
func (r *rig) openWithEnds() (*worker, error) {
	if err := r.open(3, 11); err != nil {
		return nil, err
	}
	for i, p := range r.agents {
		w, err := r.newWorker(p, fmt.Sprintf("i-7f3a91%02d", i+1), 16000, 64000)
		if err != nil {
			return nil, err
		}
		go w.beat(p.addr(portControl))
	}
	if err := r.awaitReady(); err != nil {
		return nil, err
	}
	w := r.workers[0]
	acknowledged := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.seen > 0
	}
	// Its first heartbeat may have come before its agent was up.
	for end := time.Now().Add(20 * time.Second); !acknowledged(); time.Sleep(200 * time.Millisecond) {
		j := r.newJob([]step{{Count: 44, CPU: 240, MemMb: 480, EstDurationMs: 250}}, 250*time.Millisecond)
		if !r.submit(r.entries[0], j) || !r.awaitCompleted([]*job{j}, 10*time.Second) || time.Now().After(end) {
			return nil, errNotReady
		}
	}
	return w, nil
}

// await returns the next late call.
func await(calls <-chan lateCall) (lateCall, error) {
	select {
	case c := <-calls:
		return c, nil
	case <-time.After(5 * time.Second):
		return lateCall{}, fmt.Errorf("%w: no call to be late", errNotReady)
	}
}

// lateNote lets a start and a poll to a worker get no answer, as the worker crashes, and carries both
// out in its next life, before that has sent a heartbeat.
func lateNote(r *rig, trouble bool) error {
	w, err := r.openWithEnds()
	if err != nil {
		return err
	}
	newJob := func() *job {
		return r.newJob([]step{{Count: 44, CPU: 240, MemMb: 480, EstDurationMs: 250}}, 250*time.Millisecond)
	}
	if !trouble {
		j := newJob()
		r.submit(r.entries[0], j)
		r.rec.add("case", "the job is shown as completed: %v", r.awaitCompleted([]*job{j}, 20*time.Second))
		return nil
	}
	calls := w.firstLate("/api/hold", "/api/run-start")
	poll, err := await(calls)
	if err != nil {
		return err
	}
	j := newJob()
	go r.submit(r.entries[0], j)
	start, err := await(calls)
	if err != nil {
		return err
	}
	r.rec.add(w.id, "leaves the start of %s and a poll unanswered and crashes", start.order.Task)
	w.end()
	time.Sleep(2 * time.Second)
	next, err := r.newWorker(r.agents[0], w.id, w.cpu, w.memMb)
	if err != nil {
		return err
	}
	next.carryOutLate(start.path, &start.order)
	time.Sleep(700 * time.Millisecond)
	next.carryOutLate(poll.path, &poll.order)
	time.Sleep(200 * time.Millisecond)
	go next.beat(r.agents[0].addr(portControl))
	r.rec.add("case", "the job is shown as completed: %v", r.awaitCompleted([]*job{j}, 20*time.Second))
	time.Sleep(time.Second)
	return nil
}

// lateLease lets a poll to a worker get no answer, as the worker crashes, and carries it out in its
// next life. That life is given tasks and cut off.
func lateLease(r *rig, trouble bool) error {
	w, err := r.openWithEnds()
	if err != nil {
		return err
	}
	newJob := func() *job {
		return r.newJob([]step{{Count: 33, CPU: 240, MemMb: 480, EstDurationMs: 7000}}, 7*time.Second)
	}
	if !trouble {
		j := newJob()
		r.submit(r.entries[0], j)
		r.rec.add("case", "the job is shown as completed: %v", r.awaitCompleted([]*job{j}, 30*time.Second))
		return nil
	}
	// The clock of the life is ahead of the next one's by more than the longest lease.
	time.Sleep(4 * time.Second)
	poll, err := await(w.firstLate("/api/hold"))
	if err != nil {
		return err
	}
	r.rec.add(w.id, "leaves a poll unanswered and crashes")
	w.end()
	time.Sleep(2 * time.Second)
	next, err := r.newWorker(r.agents[0], w.id, w.cpu, w.memMb)
	if err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	next.carryOutLate(poll.path, &poll.order)
	go next.beat(r.agents[0].addr(portControl))
	if !waitFor(5*time.Second, func() bool { return next.highestFence() > w.highestFence() }) {
		return fmt.Errorf("%w: the next life isn't polled", errNotReady)
	}
	time.Sleep(200 * time.Millisecond)
	j := newJob()
	r.submit(r.entries[0], j)
	if !waitFor(time.Second, func() bool { return next.running() > 0 }) {
		return fmt.Errorf("%w: the next life has no task", errNotReady)
	}
	time.Sleep(200 * time.Millisecond)
	next.cut.Store(true)
	r.rec.add(next.id, "is cut off with %d tasks", next.running())
	time.Sleep(5500 * time.Millisecond)
	next.cut.Store(false)
	r.rec.add(next.id, "the cut ends; it has %d tasks", next.running())
	r.rec.add("case", "the job is shown as completed: %v", r.awaitCompleted([]*job{j}, 30*time.Second))
	return nil
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// manyEndsAtTakeover kills the leading process while a worker runs more tasks than it lists ends
// at a time. The tasks end before the next leader hears of the worker.
func manyEndsAtTakeover(r *rig, trouble bool) error {
	const jobs, width = 20, 32
	if err := r.open(2, 1); err != nil {
		return err
	}
	w, err := r.newWorker(r.agents[0], "i-7f3a91c2", 64000, 256000)
	if err != nil {
		return err
	}
	go w.beat(r.agents[0].addr(portControl))
	if err := r.awaitReady(); err != nil {
		return err
	}
	// The tasks end at about the same time, when all have been at work for a while.
	end := time.Now().Add(3 * time.Second)
	var all []*job
	for i := range jobs {
		j := r.addJob(&job{
			Steps:    []step{{Count: width, CPU: 90, MemMb: 256, EstDurationMs: 2500}},
			duration: func(runTask) time.Duration { return max(time.Until(end), time.Second) },
		})
		all = append(all, j)
		go r.submit(r.entries[i%2], j)
	}
	if !waitFor(time.Until(end)-500*time.Millisecond, func() bool { return w.running() == jobs*width }) {
		return fmt.Errorf("%w: %d tasks are at work", errNotReady, w.running())
	}
	time.Sleep(time.Until(end) - 500*time.Millisecond)
	r.rec.add("case", "%d tasks are at work on %s", w.running(), w.id)
	if l := r.leader(); trouble && l != nil {
		l.signal(syscall.SIGKILL)
		time.AfterFunc(3*time.Second, func() { _ = l.start() })
	}
	for range 20 {
		time.Sleep(200 * time.Millisecond)
		r.rec.add("case", "%d at work, %d ends listed and not taken note of", w.running(), w.unseen())
	}
	r.rec.add("case", "all jobs are shown as completed: %v", r.awaitCompleted(all, 20*time.Second))
	return nil
}

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

// largeProgress hands in a scheduled job of many occurrences, whose progress outgrows a value of the
// store. Without the disruption each occurrence is a job of its own, so that the tasks are the same.
func largeProgress(r *rig, trouble bool) error {
	const occurrences, width = 42, 500
	const interval = 1500 * time.Millisecond
	if err := r.open(2, 2); err != nil {
		return err
	}
	for i, p := range r.agents {
		w, err := r.newWorker(p, fmt.Sprintf("i-7f3a91c%d", i+1), 64000, 256000)
		if err != nil {
			return err
		}
		go w.beat(p.addr(portControl))
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	steps := []step{{Count: width, CPU: 100, MemMb: 64, EstDurationMs: 500, Checkpoint: true}}
	duration := func(runTask) time.Duration { return 500 * time.Millisecond }
	began := time.Now()
	if trouble {
		r.submit(r.entries[0], r.addJob(&job{
			Steps: steps, duration: duration, StartAtMs: began.Add(time.Second).UnixMilli(), IntervalMs: interval.Milliseconds(), RepeatCount: occurrences,
		}))
	}
	// The other callers hand in small jobs of two steps meanwhile.
	var small []*job
	for k := range occurrences {
		time.Sleep(time.Until(began.Add(time.Second + time.Duration(k)*interval)))
		if !trouble {
			r.submit(r.entries[0], r.addJob(&job{Steps: steps, duration: duration}))
		}
		j := r.newJob([]step{{Count: 4, CPU: 240, MemMb: 480, EstDurationMs: 500}, {Count: 2, CPU: 240, MemMb: 480, EstDurationMs: 500, After: []int{0}}},
			500*time.Millisecond)
		if r.submit(r.entries[k%2], j) {
			small = append(small, j)
		}
	}
	r.rec.add("case", "the traffic ends; the store has refused %d changes for their size", r.store.refusals())
	time.Sleep(finishTime)
	r.checkFinished(small)
	return nil
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

// manyOccurrences hands in recurring jobs of ordinary size, which are due every quarter of an hour
// for a week. Without the disruption each of them is due once.
func manyOccurrences(r *rig, trouble bool) error {
	const recurring, quarters = 60, 4 * 24 * 7
	if err := r.open(3, 3); err != nil {
		return err
	}
	done := make(chan struct{})
	var watches sync.WaitGroup
	for _, p := range r.processes() {
		watches.Go(func() { p.enforceMemory(done) })
	}
	defer func() {
		close(done)
		watches.Wait()
	}()
	for i, p := range r.agents {
		w, err := r.newWorker(p, fmt.Sprintf("i-7f3a91c%d", i+1), 16000, 64000)
		if err != nil {
			return err
		}
		go w.beat(p.addr(portControl))
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	task := step{Count: 8, CPU: 240, MemMb: 480, EstDurationMs: 1000}
	next := task
	next.After = []int{0}
	var accepted, small []*job
	for n := range recurring {
		j := &job{
			Steps: []step{task, next}, duration: func(runTask) time.Duration { return time.Second },
			StartAtMs: time.Now().Add(time.Hour).UnixMilli(), IntervalMs: (15 * time.Minute).Milliseconds(), RepeatCount: 1,
		}
		if trouble {
			j.RepeatCount = quarters
		}
		if r.submit(r.entries[n%3], r.addJob(j)) {
			accepted = append(accepted, j)
		}
		if n%3 == 0 {
			x := r.newJob([]step{task, next}, time.Second)
			if r.submit(r.entries[n%3], x) {
				accepted, small = append(accepted, x), append(small, x)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.rec.add("case", "the traffic ends; %d jobs are accepted", len(accepted))
	time.Sleep(finishTime)
	unanswered := 0
	for _, j := range accepted {
		if !r.answered(j.ID) {
			if unanswered++; unanswered == 10 {
				break
			}
		}
	}
	if unanswered > 0 {
		r.checks.fail("LOST", "%v after the end of the traffic %d accepted jobs get no answer within the %v that their callers wait", finishTime, unanswered, callerWait)
	}
	r.checkFinished(small)
	ends := 0
	for _, p := range r.processes() {
		if p.overLimit >= 3 {
			ends++
		}
	}
	if ends >= 2 {
		r.checks.fail("Fault", "%d processes exceeded the memory of their machines three times or more", ends)
	}
	return nil
}

// callerWait is how long a caller waits for the state of a job.
const callerWait = 3 * time.Second

// answered asks all entries for the state of a job at once, and reports whether one of them answers.
func (r *rig) answered(id string) bool {
	answers := make(chan bool, len(r.entries))
	for _, p := range r.entries {
		go func() { answers <- r.state(p, id) != "" }()
	}
	any := false
	for range r.entries {
		any = <-answers || any
	}
	return any
}

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

// waitingGangs hands in gangs of which one fits at a time, and a part of the next one. Without the
// disruption each one is handed in when the one before is done.
func waitingGangs(r *rig, trouble bool) error {
	const gangs, length = 10, 4 * time.Second
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
	var jobs []*job
	for n := range gangs {
		j := r.newJob([]step{{Count: 12, CPU: 8000, MemMb: 8000, EstDurationMs: int(length.Milliseconds()), Gang: true}}, length)
		if r.submit(r.entries[n%3], j) {
			jobs = append(jobs, j)
		}
		if !trouble {
			r.awaitCompleted([]*job{j}, 2*length)
		}
	}
	// A job counts visible_ms and 2 s after it was accepted.
	const visible = 5 * time.Second
	for end := time.Now().Add(25 * time.Second); trouble && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		waiting := r.notBegun(jobs, visible)
		for _, p := range r.entries {
			status, pending := r.call(p, http.MethodGet, "", "")
			n, err := strconv.Atoi(pending)
			r.rec.add("client", "GET %s at %s: %d, pending %s; %d jobs were accepted over %v ago and haven't begun", prefix, p.name, status, pending, waiting, visible)
			// A job that has begun meanwhile isn't counted.
			if rest := r.notBegun(jobs, visible); status == http.StatusOK && err == nil && 2*n < min(waiting, rest) {
				r.checks.fail("MIXED", "%s gives %d jobs as pending, and %d that were accepted over %v ago haven't begun", p.name, n, rest, visible)
			}
		}
	}
	r.rec.add("case", "%d of %d gangs are accepted; all are shown as completed: %v", len(jobs), gangs, r.awaitCompleted(jobs, 60*time.Second))
	return nil
}

// notBegun returns how many jobs were accepted at least some time ago and have no run yet.
func (r *rig) notBegun(jobs []*job, age time.Duration) int {
	n := 0
	for _, j := range jobs {
		begun := time.Since(j.acceptedAt) < age
		for i := range j.Steps[0].Count {
			begun = begun || len(r.checks.runsOf(fmt.Sprintf("%s.0.0.%d", j.ID, i))) > 0
		}
		if !begun {
			n++
		}
	}
	return n
}

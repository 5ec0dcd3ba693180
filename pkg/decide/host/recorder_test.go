package host

import (
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// checkAnswer checks an answer about k against the state of the worker and earlier
// answers.
func (w *simulation) checkAnswer(k Key, kind task.AnswerKind) {
	if !w.workerKnown {
		w.t.Fatalf("answer for %v is %d before the first announcement of the bound worker", k, kind)
	}
	if kind < task.Refused {
		return
	}
	r := w.worker.runs[k]
	switch {
	case r != nil && r.state == Running:
		w.t.Fatalf("%v runs, but its answer is %d", k, kind)
	case kind == task.Refused && w.started[k] && !w.answeredFinal[k]:
		w.t.Fatalf("%v ran, but its answer is a refusal", k)
	case w.finalAnswers[k] != 0 && w.finalAnswers[k] != kind:
		w.t.Fatalf("final answer for %v changed from %d to %d", k, w.finalAnswers[k], kind)
	case !w.answeredFinal[k] && r != nil && r.state == Done && kind != task.EndedOK && w.now.Before(r.leaseEnd):
		w.t.Fatalf("%v is done, but its answer is %d", k, kind)
	}
	w.answeredFinal[k] = true
	delete(w.awaitingEnd, k)
	w.finalAnswers[k] = kind
}

// checkOutdatedIgnored runs f, which delivers a message, and checks that an outdated
// one changes no attempts and has no answer.
func (w *simulation) checkOutdatedIgnored(outdated bool, f func()) {
	n, attempts := len(w.network), len(w.machine.attempts)
	f()
	for _, m := range w.network[n:] {
		if outdated && (m.reply == nil || len(m.reply.Leases)+len(m.reply.Ended) > 0) {
			w.t.Fatalf("an outdated message had an effect: %+v", m)
		}
	}
	if outdated && len(w.machine.attempts) != attempts {
		w.t.Fatalf("an outdated message changed the attempts")
	}
}

// checkOldWorkerFreed checks that no attempt of an earlier incarnation of the worker
// holds resources.
func (w *simulation) checkOldWorkerFreed() {
	for k, a := range w.machine.attempts {
		if a.phase != final && a.worker != w.machine.worker {
			w.t.Fatalf("%v of worker %d holds resources", k, a.worker)
		}
	}
}

// recordStart records and checks that an attempt starts on the worker.
func (w *simulation) recordStart(k Key) {
	var sum fleet.Resources
	for o, r := range w.worker.runs {
		if r.state != Running {
			continue
		}
		sum = sum.Plus(r.need)
		if o != k && o.Task == k.Task {
			w.t.Fatalf("%v and %v run at once", o, k)
		}
	}
	if !sum.Fits(w.total) {
		w.t.Fatalf("the worker is overcommitted: %+v", sum)
	}
	if w.assignedWorker[k] != w.worker.incarnation {
		w.t.Fatalf("%v was for worker %d and starts on %d", k, w.assignedWorker[k], w.worker.incarnation)
	}
	if w.answeredFinal[k] || w.started[k] {
		w.t.Fatalf("%v starts again", k)
	}
	w.started[k] = true
	w.awaitingEnd[k] = true
	w.checkLease(k)
}

// checkLease checks that the lease at the worker ends no later than the granted one.
func (w *simulation) checkLease(k Key) {
	if u := w.worker.runs[k].leaseEnd; u.After(w.leaseEnds[k]) {
		w.t.Fatalf("%v may run until %v, its lease ends %v", k, u, w.leaseEnds[k])
	}
}

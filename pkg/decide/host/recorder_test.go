package host

import (
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func (w *world) tells(k Key, kind task.AnswerKind) {
	if !w.heard {
		w.t.Fatalf("%v is told as %d before the bound worker was heard", k, kind)
	}
	if kind < task.Refused {
		return
	}
	r := w.w.runs[k]
	switch {
	case r != nil && r.state == Running:
		w.t.Fatalf("%v runs and is told as %d", k, kind)
	case kind == task.Refused && w.began[k] && !w.told[k]:
		w.t.Fatalf("%v ran and is told as refused", k)
	case w.final[k] != 0 && w.final[k] != kind:
		w.t.Fatalf("%v was told as %d and is told as %d", k, w.final[k], kind)
	case !w.told[k] && r != nil && r.state == Done && kind != task.EndedOK && w.now.Before(r.until):
		w.t.Fatalf("%v is done and is told as %d", k, kind)
	}
	w.told[k] = true
	delete(w.owed, k)
	w.final[k] = kind
}

// silently checks that what is outdated changes nothing and has no answer.
func (w *world) silently(outdated bool, f func()) {
	n, attempts := len(w.net), len(w.m.attempts)
	f()
	for _, m := range w.net[n:] {
		if outdated && (m.reply == nil || len(m.reply.Leases)+len(m.reply.Ended) > 0) {
			w.t.Fatalf("what is outdated had an effect: %+v", m)
		}
	}
	if outdated && len(w.m.attempts) != attempts {
		w.t.Fatalf("what is outdated was taken up")
	}
}

// freed checks that nothing of an earlier life of the worker holds room.
func (w *world) freed() {
	for k, a := range w.m.attempts {
		if a.phase != final && a.worker != w.m.worker {
			w.t.Fatalf("%v of worker %d holds room", k, a.worker)
		}
	}
}

// begin notes that an attempt starts on the worker.
func (w *world) begin(k Key) {
	var sum fleet.Resources
	for o, r := range w.w.runs {
		if r.state != Running {
			continue
		}
		sum = sum.Plus(r.need)
		if o != k && o.Task == k.Task {
			w.t.Fatalf("%v and %v run at once", o, k)
		}
	}
	if !sum.Fits(w.total) {
		w.t.Fatalf("the worker is overfilled: %+v", sum)
	}
	if w.issued[k] != w.w.life {
		w.t.Fatalf("%v was for worker %d and starts on %d", k, w.issued[k], w.w.life)
	}
	if w.told[k] || w.began[k] {
		w.t.Fatalf("%v starts again", k)
	}
	w.began[k] = true
	w.owed[k] = true
	w.leased(k)
}

func (w *world) leased(k Key) {
	if u := w.w.runs[k].until; u.After(w.grants[k]) {
		w.t.Fatalf("%v may run until %v, its lease ends %v", k, u, w.grants[k])
	}
}

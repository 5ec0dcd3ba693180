package compare

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

// second runs one host for a second and lets its policy react.
func (t *trial) second(h *machine) {
	y := math.Log(baseTail) + 0.15*t.rand.NormFloat64()
	loads := interfere.Loads{Loads: []interfere.Load{{Key: host.Key{Shard: 1}, Kind: h.service, Share: 0.2, Service: true}}}
	for _, j := range h.jobs {
		share := h.throttle(j.load.Key) * j.load.Share
		y += harm[h.service][j.load.Kind] * share
		j.left -= h.throttle(j.load.Key)
		t.result.BatchWork += share * processors
		l := j.load
		l.Share = share
		loads.Loads = append(loads.Loads, l)
	}
	tail := math.Exp(y)
	t.tails = append(t.tails, tail)
	h.jobs = slices.DeleteFunc(h.jobs, func(j *job) bool { return j.left <= 0 })
	h.past = append(h.past, loads)
	t.react(h, interfere.Window{Kind: h.service, TailLatency: time.Duration(tail * float64(time.Second)), LatencyBudget: budget})
}

func (h *machine) throttle(k host.Key) float64 {
	if s, ok := h.share[k]; ok {
		return s
	}
	return 1
}

// react gives a window to the policy, which sees usage late.
func (t *trial) react(h *machine, w interfere.Window) {
	switch t.policy {
	case Default, NoLearning:
		t.control(h, w)
	case EagerEviction:
		if w.TailLatency > w.LatencyBudget && len(h.jobs) > 0 {
			t.evict(h, h.jobs[0].load.Key)
		}
	}
}

func (t *trial) control(h *machine, w interfere.Window) {
	if t.policy == NoLearning {
		*h.controller.Model = interfere.LatencyModel{}
	}
	late := h.past[max(len(h.past)-1-reportLag, 0)]
	var out []interfere.Action
	for _, e := range []interfere.Event{late, w, interfere.Tick{}} {
		out = h.controller.Step(t.now, e, out)
	}
	for _, a := range out {
		switch a := a.(type) {
		case interfere.Throttle:
			h.share[a.Key] = a.Share
		case interfere.StopAdmitting:
			h.closed[a.Kind] = true
		case interfere.ResumeAdmitting:
			delete(h.closed, a.Kind)
		case interfere.RequestEviction:
			t.evict(h, a.Key)
		}
	}
}

// evict puts a task back into the queue with its progress but the restart.
func (t *trial) evict(h *machine, k host.Key) {
	for i, j := range h.jobs {
		if j.load.Key != k {
			continue
		}
		h.jobs = slices.Delete(h.jobs, i, i+1)
		delete(h.share, k)
		j.load.Attempt++
		j.left += restartCost
		t.result.BatchWork -= restartCost * j.load.Share * processors
		t.queue = append(t.queue, j)
		t.result.Evictions++
		return
	}
}

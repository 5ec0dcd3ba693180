package compare

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

// simulateSecond simulates one host for a second and lets the policy react.
func (t *simulation) simulateSecond(h *simulatedHost) {
	y := math.Log(idleTailSeconds) + 0.15*t.rand.NormFloat64()
	loads := interfere.Loads{Loads: []interfere.Load{{Key: host.Key{Shard: 1}, Kind: h.service, Share: 0.2, Service: true}}}
	for _, j := range h.tasks {
		share := h.throttleOf(j.load.Key) * j.load.Share
		y += interferenceWeights[h.service][j.load.Kind] * share
		j.remainingSeconds -= h.throttleOf(j.load.Key)
		t.result.BatchWork += share * processorsPerHost
		l := j.load
		l.Share = share
		loads.Loads = append(loads.Loads, l)
	}
	tail := math.Exp(y)
	t.tails = append(t.tails, tail)
	h.tasks = slices.DeleteFunc(h.tasks, func(j *simulatedTask) bool { return j.remainingSeconds <= 0 })
	h.pastLoads = append(h.pastLoads, loads)
	t.applyPolicy(h, interfere.Window{Kind: h.service, TailLatency: time.Duration(tail * float64(time.Second)), LatencyBudget: latencyBudget})
}

// throttleOf returns the share of its processors that an attempt may use.
func (h *simulatedHost) throttleOf(k host.Key) float64 {
	if s, ok := h.throttles[k]; ok {
		return s
	}
	return 1
}

// applyPolicy passes a window to the policy and carries out its reaction.
func (t *simulation) applyPolicy(h *simulatedHost, w interfere.Window) {
	switch t.policy {
	case Default, NoLearning:
		t.stepController(h, w)
	case EagerEviction:
		if w.TailLatency > w.LatencyBudget && len(h.tasks) > 0 {
			t.evict(h, h.tasks[0].load.Key)
		}
	}
}

// stepController passes a window and the delayed usage reports to the controller
// of h and carries out its actions.
func (t *simulation) stepController(h *simulatedHost, w interfere.Window) {
	if t.policy == NoLearning {
		*h.controller.Model = interfere.LatencyModel{}
	}
	delayed := h.pastLoads[max(len(h.pastLoads)-1-reportLagSeconds, 0)]
	var out []interfere.Action
	for _, e := range []interfere.Event{delayed, w, interfere.Tick{}} {
		out = h.controller.Step(t.now, e, out)
	}
	for _, a := range out {
		switch a := a.(type) {
		case interfere.Throttle:
			h.throttles[a.Key] = a.Share
		case interfere.StopAdmitting:
			h.notAdmitted[a.Kind] = true
		case interfere.ResumeAdmitting:
			delete(h.notAdmitted, a.Kind)
		case interfere.RequestEviction:
			t.evict(h, a.Key)
		}
	}
}

// evict returns a task to the queue. It keeps its progress except for the cost of the restart.
func (t *simulation) evict(h *simulatedHost, k host.Key) {
	for i, j := range h.tasks {
		if j.load.Key != k {
			continue
		}
		h.tasks = slices.Delete(h.tasks, i, i+1)
		delete(h.throttles, k)
		j.load.Attempt++
		j.remainingSeconds += restartCostSeconds
		t.result.BatchWork -= restartCostSeconds * j.load.Share * processorsPerHost
		t.queue = append(t.queue, j)
		t.result.Evictions++
		return
	}
}

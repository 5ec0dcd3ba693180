// Package compare simulates one small workload under several policies, with fixed
// interference weights, and compares the tail latency of the services, the batch
// work done and the evictions.
package compare

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The sizes of the workload.
const (
	hostCount         = 22
	processorsPerHost = 16.0
	slotsPerHost      = 8
	latencyBudget     = 60 * time.Millisecond
	idleTailSeconds   = 0.02
	// restartCostSeconds is the work lost by an eviction.
	restartCostSeconds = 10.0
	// reportLagSeconds is the delay of usage reports.
	reportLagSeconds = 5
	// mergeIntervalSeconds is the interval at which hosts merge their models.
	mergeIntervalSeconds = 30
)

// A Policy is a way to place tasks and to react to interference.
type Policy uint8

// The policies.
const (
	Default Policy = iota
	FirstFit
	LeastLoaded
	NoLearning
	EagerEviction
)

// A Result is the outcome of one simulation.
type Result struct {
	// P99 is the 99th percentile of the tail latencies over all windows of all
	// service replicas.
	P99 time.Duration
	// BatchWork is the batch work done, in processor-seconds.
	BatchWork float64
	Evictions int
}

// interferenceWeights holds the interference weights by victim, then aggressor.
var interferenceWeights = map[fleet.Kind]map[fleet.Kind]float64{
	"alert":  {"forecast": 3.0, "dossier": 0.2, "index": 0.1},
	"lookup": {"forecast": 0.2, "dossier": 2.5, "index": 0.1},
}

var (
	serviceKinds = []fleet.Kind{"alert", "lookup"}
	batchKinds   = []fleet.Kind{"forecast", "dossier", "index"}
)

type simulatedTask struct {
	load             interfere.Load
	remainingSeconds float64
	startedAt        time.Time
}

type simulatedHost struct {
	service     fleet.Kind
	tasks       []*simulatedTask
	controller  *interfere.Controller
	throttles   map[host.Key]float64
	notAdmitted map[fleet.Kind]bool
	pastLoads   []interfere.Loads
}

type simulation struct {
	policy Policy
	now    time.Time
	rand   *rand.Rand
	models []*interfere.LatencyModel
	hosts  []*simulatedHost
	queue  []*simulatedTask
	// tails holds the tail latencies of all windows in seconds.
	tails  []float64
	result Result
}

// Run simulates the workload for a number of seconds.
func Run(p Policy, seed uint64, seconds int) Result {
	t := &simulation{policy: p, now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range hostCount {
		m := &interfere.LatencyModel{}
		t.models = append(t.models, m)
		h := &simulatedHost{service: serviceKinds[i%len(serviceKinds)], controller: &interfere.Controller{Model: m}}
		h.throttles = make(map[host.Key]float64)
		h.notAdmitted = make(map[fleet.Kind]bool)
		t.hosts = append(t.hosts, h)
	}
	for s := range seconds {
		t.now = t.now.Add(time.Second)
		t.submitTasks(s)
		t.placeTasks()
		for _, h := range t.hosts {
			t.simulateSecond(h)
		}
		if s%mergeIntervalSeconds == 0 {
			t.mergeModels()
		}
	}
	slices.Sort(t.tails)
	t.result.P99 = time.Duration(t.tails[len(t.tails)*99/100] * float64(time.Second))
	return t.result
}

// submitTasks adds the tasks of second s to the queue. At intervals, all tasks are
// of one kind and arrive at a higher rate.
func (t *simulation) submitTasks(s int) {
	rate := 0.45
	kind := batchKinds[t.rand.IntN(len(batchKinds))]
	if s/200%3 == 1 {
		rate = 0.8
		kind = batchKinds[s/600%2]
	}
	if t.rand.Float64() > rate {
		return
	}
	id := task.ID{Job: task.JobID(kind), Index: uint32(s)}
	l := interfere.Load{Key: host.Key{Task: id, Attempt: 1}, Kind: kind, Share: (1 + 2*t.rand.Float64()) / processorsPerHost}
	t.queue = append(t.queue, &simulatedTask{load: l, remainingSeconds: 60 + 240*t.rand.Float64()})
}

// placeTasks starts the queued tasks that fit on a host, the oldest first.
func (t *simulation) placeTasks() {
	t.queue = slices.DeleteFunc(t.queue, func(j *simulatedTask) bool {
		best, lowest := -1, math.Inf(1)
		for i, h := range t.hosts {
			if !h.accepts(j) {
				continue
			}
			if v := t.score(i, h, j); v < lowest {
				best, lowest = i, v
			}
		}
		if best < 0 {
			return false
		}
		j.startedAt = t.now
		j.load.LastCheckpoint = t.now
		t.hosts[best].tasks = append(t.hosts[best].tasks, j)
		return true
	})
}

// accepts reports whether h has a slot and the processors for j and admits its kind.
func (h *simulatedHost) accepts(j *simulatedTask) bool {
	return len(h.tasks) < slotsPerHost && h.usedShare()+j.load.Share <= 1 && !h.notAdmitted[j.load.Kind]
}

// usedShare returns the share of the host's processors in use, including the service.
func (h *simulatedHost) usedShare() float64 {
	u := 0.2 // the service's own share
	for _, j := range h.tasks {
		u += j.load.Share
	}
	return u
}

// score rates the placement of j on the host with index i; the lowest score is best.
func (t *simulation) score(i int, h *simulatedHost, j *simulatedTask) float64 {
	switch t.policy {
	case FirstFit:
		return float64(i)
	case Default:
		colocated := interfere.Shares{h.service: 0.2}
		return h.usedShare() + 4*t.models[i].Penalty(t.now, j.load.Kind, j.load.Share+h.usedShareOf(j.load.Kind), colocated)
	default:
		return h.usedShare()
	}
}

// usedShareOf returns the share of the host's processors that batch tasks of a kind use.
func (h *simulatedHost) usedShareOf(k fleet.Kind) float64 {
	u := 0.0
	for _, j := range h.tasks {
		if j.load.Kind == k {
			u += j.load.Share
		}
	}
	return u
}

// mergeModels exchanges the estimates of all hosts, which only the default policy does.
func (t *simulation) mergeModels() {
	if t.policy != Default {
		return
	}
	for _, m := range t.models {
		for _, o := range t.models {
			m.Merge(t.now, o.Estimates(t.now, interfere.MaxPairs))
		}
	}
}

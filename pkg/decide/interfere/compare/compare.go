// Package compare runs one small workload under several policies, on a fixed
// table of interference, to compare service tails, batch work and evictions.
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
	hosts      = 22
	processors = 16.0
	slots      = 8
	budget     = 60 * time.Millisecond
	baseTail   = 0.02 // seconds
	// restartCost is the work in seconds that an eviction loses.
	restartCost = 10.0
	// reportLag is how many seconds usage reports are late.
	reportLag = 5
	// mergeEvery is how often hosts share what they learned, in seconds.
	mergeEvery = 30
)

// A Policy is one way to place tasks and to react.
type Policy uint8

// The policies.
const (
	Default Policy = iota
	FirstFit
	LeastLoaded
	NoLearning
	EagerEviction
)

// A Result is what one run gave.
type Result struct {
	// P99 is over all windows of all service replicas.
	P99 time.Duration
	// BatchWork is the batch work done, in processor seconds.
	BatchWork float64
	Evictions int
}

// harm is the table of interference: victims, then disturbers.
var harm = map[fleet.Kind]map[fleet.Kind]float64{
	"alert":  {"forecast": 3.0, "dossier": 0.2, "index": 0.1},
	"lookup": {"forecast": 0.2, "dossier": 2.5, "index": 0.1},
}

var (
	services = []fleet.Kind{"alert", "lookup"}
	batch    = []fleet.Kind{"forecast", "dossier", "index"}
)

type job struct {
	load  interfere.Load
	left  float64
	since time.Time
}

type machine struct {
	service    fleet.Kind
	jobs       []*job
	controller *interfere.Controller
	share      map[host.Key]float64
	closed     map[fleet.Kind]bool
	past       []interfere.Loads
}

type trial struct {
	policy Policy
	now    time.Time
	rand   *rand.Rand
	model  []*interfere.LatencyModel
	hosts  []*machine
	queue  []*job
	tails  []float64
	result Result
}

// Run runs the workload for seconds of simulated time.
func Run(p Policy, seed uint64, seconds int) Result {
	t := &trial{policy: p, now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range hosts {
		m := &interfere.LatencyModel{}
		t.model = append(t.model, m)
		h := &machine{service: services[i%len(services)], controller: &interfere.Controller{Model: m}}
		h.share = make(map[host.Key]float64)
		h.closed = make(map[fleet.Kind]bool)
		t.hosts = append(t.hosts, h)
	}
	for s := range seconds {
		t.now = t.now.Add(time.Second)
		t.arrive(s)
		t.place()
		for _, h := range t.hosts {
			t.second(h)
		}
		if s%mergeEvery == 0 {
			t.merge()
		}
	}
	slices.Sort(t.tails)
	t.result.P99 = time.Duration(t.tails[len(t.tails)*99/100] * float64(time.Second))
	return t.result
}

// arrive adds tasks, in waves of one kind at times.
func (t *trial) arrive(s int) {
	rate := 0.45
	kind := batch[t.rand.IntN(len(batch))]
	if s/200%3 == 1 {
		rate = 0.8
		kind = batch[s/600%2]
	}
	if t.rand.Float64() > rate {
		return
	}
	id := task.ID{Job: task.JobID(kind), Index: uint32(s)}
	l := interfere.Load{Key: host.Key{Task: id, Attempt: 1}, Kind: kind, Share: (1 + 2*t.rand.Float64()) / processors}
	t.queue = append(t.queue, &job{load: l, left: 60 + 240*t.rand.Float64()})
}

// place starts what fits, the oldest first.
func (t *trial) place() {
	t.queue = slices.DeleteFunc(t.queue, func(j *job) bool {
		best, least := -1, math.Inf(1)
		for i, h := range t.hosts {
			if !h.takes(j) {
				continue
			}
			if v := t.score(i, h, j); v < least {
				best, least = i, v
			}
		}
		if best < 0 {
			return false
		}
		j.since = t.now
		j.load.LastCheckpoint = t.now
		t.hosts[best].jobs = append(t.hosts[best].jobs, j)
		return true
	})
}

func (h *machine) takes(j *job) bool {
	return len(h.jobs) < slots && h.used()+j.load.Share <= 1 && !h.closed[j.load.Kind]
}

func (h *machine) used() float64 {
	u := 0.2 // the service's own part
	for _, j := range h.jobs {
		u += j.load.Share
	}
	return u
}

// score is lower for a better host.
func (t *trial) score(i int, h *machine, j *job) float64 {
	switch t.policy {
	case FirstFit:
		return float64(i)
	case Default:
		beside := interfere.Shares{h.service: 0.2}
		return h.used() + 4*t.model[i].Penalty(t.now, j.load.Kind, j.load.Share+h.usedBy(j.load.Kind), beside)
	default:
		return h.used()
	}
}

func (h *machine) usedBy(k fleet.Kind) float64 {
	u := 0.0
	for _, j := range h.jobs {
		if j.load.Kind == k {
			u += j.load.Share
		}
	}
	return u
}

func (t *trial) merge() {
	if t.policy != Default {
		return
	}
	for _, m := range t.model {
		for _, o := range t.model {
			m.Merge(t.now, o.Estimates(t.now, interfere.MaxPairs))
		}
	}
}

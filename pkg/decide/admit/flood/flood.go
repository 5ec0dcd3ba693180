// Package flood simulates one overloaded host with an Admitter, to compare
// admission policies.
//
// The host is a processor-sharing server: running requests share its processors
// equally and none uses more than one. Arrivals are Poisson processes and processor
// times are exponentially distributed. Simulations with the same seed are identical.
package flood

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Workload is the load of one kind.
type Workload struct {
	Row table.Row
	// Rate is the number of arrivals per second.
	Rate float64
	// ProcessorTime is the mean processor time of a request.
	ProcessorTime time.Duration
}

// A Simulation simulates one host. Its exported fields are set before Run.
type Simulation struct {
	Admitter    admit.Admitter
	Workloads   []Workload
	Processors  int
	Connections int
	// WarmUp is the time before the measurement, in which arrivals are not counted.
	WarmUp time.Duration
	// Measurement is the time in which arrivals are counted.
	Measurement time.Duration
	// CoolDown is the time after the measurement in which counted requests may end.
	CoolDown time.Duration
	Seed     uint64

	random       *rand.Rand
	now          float64
	virtualTime  float64
	nextArrivals []float64
	requests     map[admit.RequestID]*simulatedRequest
	running      []*simulatedRequest
	lastID       admit.RequestID
	results      []Result
	actions      []admit.Action
}

// A simulatedRequest is a request that is queued or running.
type simulatedRequest struct {
	id admit.RequestID
	// workload is the index of the request's workload.
	workload      int
	processorTime float64
	arrivedAt     float64
	startedAt     float64
	// virtualEnd is the virtual time at which the request completes.
	virtualEnd float64
	measured   bool
}

// epoch is the time at which each simulation starts.
var epoch = time.Unix(0, 0).UTC()

// Run runs the simulation and returns a result for each workload.
func (r *Simulation) Run() []Result {
	r.setUp()
	end := (r.WarmUp + r.Measurement + r.CoolDown).Seconds()
	for r.now < end {
		r.step()
	}
	r.finish()
	return r.results
}

// setUp initialises the simulation and the Admitter.
func (r *Simulation) setUp() {
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	r.requests = make(map[admit.RequestID]*simulatedRequest)
	r.nextArrivals = make([]float64, len(r.Workloads))
	r.results = make([]Result, len(r.Workloads))
	rows := make([]table.Row, len(r.Workloads))
	for i, w := range r.Workloads {
		rows[i] = w.Row
		r.results[i].Kind = w.Row.Kind
		r.nextArrivals[i] = r.interarrivalTime(w)
	}
	r.apply(r.Admitter.SetTable(r.clock(), rows, nil))
	r.apply(r.Admitter.SetCapacity(r.clock(), r.Connections, nil))
}

// interarrivalTime draws the time until the next arrival of w.
func (r *Simulation) interarrivalTime(w Workload) float64 {
	if w.Rate <= 0 {
		return math.Inf(1)
	}
	return r.random.ExpFloat64() / w.Rate
}

// clock returns the current time of the simulation.
func (r *Simulation) clock() time.Time {
	return epoch.Add(time.Duration(r.now * float64(time.Second)))
}

// speed returns the share of a processor that each running request gets.
func (r *Simulation) speed() float64 {
	return min(1, float64(r.Processors)/max(1, float64(len(r.running))))
}

// step advances the time to the next event and processes it.
func (r *Simulation) step() {
	workload, arrival := r.nextArrival()
	done, completion := r.nextCompletion()
	tick := r.nextTick()
	switch {
	case completion <= arrival && completion <= tick:
		r.advance(completion)
		r.complete(done)
	case tick < arrival:
		r.advance(tick)
		r.apply(r.Admitter.Tick(r.clock(), r.actions[:0]))
	default:
		r.advance(arrival)
		r.arrive(workload)
	}
}

// nextArrival returns the index of the workload with the next arrival, and its time.
func (r *Simulation) nextArrival() (int, float64) {
	b := 0
	for i, t := range r.nextArrivals {
		if t < r.nextArrivals[b] {
			b = i
		}
	}
	return b, r.nextArrivals[b]
}

// nextCompletion returns the index of the running request that completes next, and its time.
func (r *Simulation) nextCompletion() (int, float64) {
	b := -1
	for i, j := range r.running {
		if b < 0 || j.virtualEnd < r.running[b].virtualEnd {
			b = i
		}
	}
	if b < 0 {
		return b, math.Inf(1)
	}
	return b, r.now + max(0, r.running[b].virtualEnd-r.virtualTime)/r.speed()
}

// nextTick returns the time of the next Tick. It adds a nanosecond so that rounding never
// makes the Tick early.
func (r *Simulation) nextTick() float64 {
	t, ok := r.Admitter.Wake()
	if !ok {
		return math.Inf(1)
	}
	return max(r.now, t.Sub(epoch).Seconds()) + time.Nanosecond.Seconds()
}

// advance advances the time to t.
func (r *Simulation) advance(t float64) {
	r.virtualTime += (t - r.now) * r.speed()
	r.now = t
}

// arrive offers a request of the workload with the given index.
func (r *Simulation) arrive(workload int) {
	w := r.Workloads[workload]
	r.nextArrivals[workload] = r.now + r.interarrivalTime(w)
	r.lastID++
	j := &simulatedRequest{
		id:            r.lastID,
		workload:      workload,
		processorTime: r.random.ExpFloat64() * w.ProcessorTime.Seconds(),
		arrivedAt:     r.now,
		measured:      r.now >= r.WarmUp.Seconds() && r.now < (r.WarmUp+r.Measurement).Seconds(),
	}
	r.requests[j.id] = j
	if j.measured {
		r.results[workload].countArrival(j.processorTime)
	}
	q := admit.Request{ID: j.id, Kind: w.Row.Kind, Deadline: r.clock().Add(w.Row.Deadline)}
	r.apply(r.Admitter.Offer(r.clock(), q, r.actions[:0]))
}

// complete completes the running request with index i.
func (r *Simulation) complete(i int) {
	j := r.running[i]
	last := len(r.running) - 1
	r.running[i] = r.running[last]
	r.running = r.running[:last]
	delete(r.requests, j.id)
	if j.measured {
		r.results[j.workload].countAnswer(r.since(j.arrivedAt), r.Workloads[j.workload].Row.Deadline, j.processorTime)
	}
	r.apply(r.Admitter.Done(r.clock(), j.id, r.since(j.startedAt), true, r.actions[:0]))
}

// since returns the time elapsed since t.
func (r *Simulation) since(t float64) time.Duration {
	return time.Duration((r.now - t) * float64(time.Second))
}

// apply applies the actions of the Admitter.
func (r *Simulation) apply(actions []admit.Action) {
	r.actions = actions
	for _, a := range actions {
		j := r.requests[a.RequestID]
		if a.Decision == admit.Start {
			j.startedAt = r.now
			j.virtualEnd = r.virtualTime + j.processorTime
			r.running = append(r.running, j)
			continue
		}
		delete(r.requests, a.RequestID)
		if j.measured {
			r.results[j.workload].Refused++
		}
	}
}

// Package flood drives an Admitter with more work than one host can do, to
// compare policies of admission.
//
// The host is a processor-sharing server: the requests that run share its
// processors evenly and none uses more than one. Arrivals are Poisson and
// processor times exponential. Runs with the same seed are the same.
package flood

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Workload is one kind of work that is offered.
type Workload struct {
	Row table.Row
	// Rate is how many requests arrive a second.
	Rate float64
	// ProcessorTime is the mean processor time of a request.
	ProcessorTime time.Duration
}

// A Simulation is one experiment. Fields are set before Do.
type Simulation struct {
	Admitter    admit.Admitter
	Workloads   []Workload
	Processors  int
	Connections int
	// WarmUp is how long the host runs before anything is counted.
	WarmUp time.Duration
	// Measurement is how long arrivals are counted.
	Measurement time.Duration
	// CoolDown is how long the host runs on for what was counted to end.
	CoolDown time.Duration
	Seed     uint64

	random  *rand.Rand
	now     float64
	virtual float64
	next    []float64
	jobs    map[admit.RequestID]*job
	running []*job
	ticket  admit.RequestID
	results []Result
	actions []admit.Action
}

// A job is one request on its way.
type job struct {
	ticket  admit.RequestID
	kind    int
	work    float64
	arrived float64
	started float64
	// end is the virtual time at which the work is done.
	end     float64
	counted bool
}

// epoch is the time at which each run begins.
var epoch = time.Unix(0, 0).UTC()

// Run runs the experiment and returns a result for each kind.
func (r *Simulation) Run() []Result {
	r.begin()
	end := (r.WarmUp + r.Measurement + r.CoolDown).Seconds()
	for r.now < end {
		r.step()
	}
	r.finish()
	return r.results
}

// begin sets the run up.
func (r *Simulation) begin() {
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	r.jobs = make(map[admit.RequestID]*job)
	r.next = make([]float64, len(r.Workloads))
	r.results = make([]Result, len(r.Workloads))
	rows := make([]table.Row, len(r.Workloads))
	for i, k := range r.Workloads {
		rows[i] = k.Row
		r.results[i].Kind = k.Row.Kind
		r.next[i] = r.gap(k)
	}
	r.carry(r.Admitter.SetTable(r.clock(), rows, nil))
	r.carry(r.Admitter.SetCapacity(r.clock(), r.Connections, nil))
}

// gap returns the time to the next arrival of k.
func (r *Simulation) gap(k Workload) float64 {
	if k.Rate <= 0 {
		return math.Inf(1)
	}
	return r.random.ExpFloat64() / k.Rate
}

// clock returns the present time.
func (r *Simulation) clock() time.Time {
	return epoch.Add(time.Duration(r.now * float64(time.Second)))
}

// speed returns how fast each running request gets on.
func (r *Simulation) speed() float64 {
	return min(1, float64(r.Processors)/max(1, float64(len(r.running))))
}

// step moves to the next event and carries it out.
func (r *Simulation) step() {
	kind, arrival := r.nextArrival()
	done, completion := r.nextCompletion()
	wake := r.nextWake()
	switch {
	case completion <= arrival && completion <= wake:
		r.advance(completion)
		r.complete(done)
	case wake < arrival:
		r.advance(wake)
		r.carry(r.Admitter.Tick(r.clock(), r.actions[:0]))
	default:
		r.advance(arrival)
		r.arrive(kind)
	}
}

// nextArrival returns the kind that arrives next and when.
func (r *Simulation) nextArrival() (int, float64) {
	b := 0
	for i, t := range r.next {
		if t < r.next[b] {
			b = i
		}
	}
	return b, r.next[b]
}

// nextCompletion returns the index of the job that ends next and when.
func (r *Simulation) nextCompletion() (int, float64) {
	b := -1
	for i, j := range r.running {
		if b < 0 || j.end < r.running[b].end {
			b = i
		}
	}
	if b < 0 {
		return b, math.Inf(1)
	}
	return b, r.now + max(0, r.running[b].end-r.virtual)/r.speed()
}

// nextWake returns when the admitter wants a tick, a nanosecond late so that
// rounding never brings it there too early.
func (r *Simulation) nextWake() float64 {
	t, ok := r.Admitter.Wake()
	if !ok {
		return math.Inf(1)
	}
	return max(r.now, t.Sub(epoch).Seconds()) + time.Nanosecond.Seconds()
}

// advance moves the time to t.
func (r *Simulation) advance(t float64) {
	r.virtual += (t - r.now) * r.speed()
	r.now = t
}

// arrive offers a request of the kind.
func (r *Simulation) arrive(kind int) {
	k := r.Workloads[kind]
	r.next[kind] = r.now + r.gap(k)
	r.ticket++
	j := &job{
		ticket:  r.ticket,
		kind:    kind,
		work:    r.random.ExpFloat64() * k.ProcessorTime.Seconds(),
		arrived: r.now,
		counted: r.now >= r.WarmUp.Seconds() && r.now < (r.WarmUp+r.Measurement).Seconds(),
	}
	r.jobs[j.ticket] = j
	if j.counted {
		r.results[kind].offer(j.work)
	}
	q := admit.Request{ID: j.ticket, Kind: k.Row.Kind, Deadline: r.clock().Add(k.Row.Deadline)}
	r.carry(r.Admitter.Offer(r.clock(), q, r.actions[:0]))
}

// complete ends the running job with index i.
func (r *Simulation) complete(i int) {
	j := r.running[i]
	last := len(r.running) - 1
	r.running[i] = r.running[last]
	r.running = r.running[:last]
	delete(r.jobs, j.ticket)
	if j.counted {
		r.results[j.kind].answer(r.since(j.arrived), r.Workloads[j.kind].Row.Deadline, j.work)
	}
	r.carry(r.Admitter.Done(r.clock(), j.ticket, r.since(j.started), true, r.actions[:0]))
}

// since returns the time that passed since t.
func (r *Simulation) since(t float64) time.Duration {
	return time.Duration((r.now - t) * float64(time.Second))
}

// carry carries the actions out.
func (r *Simulation) carry(actions []admit.Action) {
	r.actions = actions
	for _, a := range actions {
		j := r.jobs[a.RequestID]
		if a.Decision == admit.Start {
			j.started = r.now
			j.end = r.virtual + j.work
			r.running = append(r.running, j)
			continue
		}
		delete(r.jobs, a.RequestID)
		if j.counted {
			r.results[j.kind].Refused++
		}
	}
}

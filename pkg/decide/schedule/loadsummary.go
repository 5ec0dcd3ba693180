package schedule

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
)

// loadSummaryInterval is how often the load summary is computed anew; gateways get one with each
// pong, every 500 ms.
const loadSummaryInterval = 250 * time.Millisecond

// A loadState is what the scheduler keeps for the load summary. None of it is stored.
type loadState struct {
	summary    *overload.Summary
	computedAt time.Time
	// origins are the data centres in which open jobs were submitted, as far as known.
	origins map[batch.JobID]string
	// arrivals is the work that was added lately, in core-seconds, as it had decayed at arrivalsAt.
	arrivals   map[arrivalKind]float64
	arrivalsAt time.Time
}

// An arrivalKind is work that the load summary doesn't tell apart.
type arrivalKind struct {
	service    string
	priority   int
	bestEffort bool
	// rank is the lower bound of its rank, a power of two.
	rank float64
}

// addArrival records the work of a job that was just submitted.
func (s *Scheduler) addArrival(now time.Time, j *job) {
	s.decayArrivals(now)
	q := s.queueConfig(j)
	for i := range j.Steps {
		if st := &j.Steps[i]; !st.LongRunning && !s.fitsNoWorker(q.Service, st) {
			k := arrivalKind{q.Service, q.Priority, st.BestEffort, math.Exp2(math.Floor(math.Log2(max(j.remainingWork, 0.5))))}
			s.load.arrivals[k] += taskWork(st) * float64(st.Count)
		}
	}
}

// fitsNoWorker reports whether no worker of a service was large enough for a task of a step, even without
// any work, at the last load summary. Such tasks delay nothing.
func (s *Scheduler) fitsNoWorker(service string, st *batch.Step) bool {
	if s.load.summary == nil {
		return false
	}
	for i := range s.load.summary.Services {
		if x := &s.load.summary.Services[i]; x.Name == service {
			return x.LargestCapacity != overload.Amounts{} && !x.LargestCapacity.Fits(reservation(st))
		}
	}
	return false
}

// decayArrivals reduces the recorded arrivals to what is left of them.
func (s *Scheduler) decayArrivals(now time.Time) {
	if s.load.arrivals == nil {
		s.load.arrivals = map[arrivalKind]float64{}
	}
	left := math.Exp(-now.Sub(s.load.arrivalsAt).Seconds() / overload.ArrivalWindow.Seconds())
	s.load.arrivalsAt = now
	for k := range s.load.arrivals {
		if s.load.arrivals[k] *= left; s.load.arrivals[k] < minArrival {
			delete(s.load.arrivals, k)
		}
	}
}

// minArrival is how many core-seconds of work are forgotten.
const minArrival = 0.01

// SetOrigin records the data centre in which a job was submitted.
func (s *Scheduler) SetOrigin(id batch.JobID, dataCentre string) {
	if j := s.openJobs[id]; j != nil && dataCentre != "" {
		if s.load.origins == nil {
			s.load.origins = map[batch.JobID]string{}
		}
		s.load.origins[id] = dataCentre
	}
}

// LoadSummary returns the room for work and the work that waits. The summary isn't changed
// afterwards. It is nil until the workers of an earlier term are known.
func (s *Scheduler) LoadSummary(now time.Time) *overload.Summary {
	if !s.recovered {
		return nil
	}
	if s.load.summary == nil || now.Sub(s.load.computedAt) >= loadSummaryInterval {
		s.load.summary, s.load.computedAt = s.newLoadSummary(now), now
	}
	return s.load.summary
}

func (s *Scheduler) newLoadSummary(now time.Time) *overload.Summary {
	sum := &overload.Summary{ReceivedAt: now}
	for _, w := range s.workerList {
		s.addRoom(now, sum.Service(w.Service), w)
	}
	s.decayArrivals(now)
	for k, work := range s.load.arrivals {
		sum.Service(k.service).AddArriving(k.priority, k.bestEffort, k.rank, work/overload.ArrivalWindow.Seconds())
	}
	for id := range s.load.origins {
		if s.openJobs[id] == nil {
			delete(s.load.origins, id)
		}
	}
	for _, j := range s.openJobs {
		if j.unfinished > 0 && !j.awaitsHosts && !j.state.Final() {
			s.addWaitingWork(now, sum, j)
		}
	}
	for i := range sum.Services {
		x := &sum.Services[i]
		x.Queues, x.DataCentres = overload.LargestShares(x.Queues), overload.LargestShares(x.DataCentres)
	}
	return sum
}

// addRoom adds the room of a worker to that of its service.
func (s *Scheduler) addRoom(now time.Time, x *overload.Service, w *worker) {
	e := w.refusesTasks(now)
	room := w.Capacity
	for _, t := range w.tasks {
		switch {
		case t.step.LongRunning:
			room = room.Minus(t.step.Need)
		case e != eligible:
		case t.step.BestEffort:
			x.BestEffort.AddFreed(t.timeLeft(now), t.expectedMilliCPU(now))
		default:
			left := t.timeLeft(now)
			x.Reserved.AddFreed(left, t.step.Need.MilliCPU)
			x.BestEffort.AddFreed(left, t.step.Need.MilliCPU)
		}
	}
	x.LargestCapacity.Raise(w.Capacity)
	switch {
	case e == eligible:
		x.Workers++
		x.LargestRoom.Raise(room)
		free, spare := w.freeResources(), max(s.spareMilliCPU(now, w), 0)
		if h := w.hold; h != nil {
			x.LargestHeld.Raise(free)
			x.HeldFor = max(x.HeldFor, h.readyAt.Sub(now))
			free = free.Minus(reservation(h.task.step.Step))
		}
		x.LargestFree.Raise(free)
		x.LargestSpare = max(x.LargestSpare, spare)
		x.Reserved.Free += max(free.MilliCPU, 0)
		x.BestEffort.Free += spare
	case e == unresponsive:
		// The worker may answer again before its tasks are given to others.
		x.LargestRoom.Raise(room)
		x.Reserved.AddOutOfReach(max(room.MilliCPU, 0))
		x.BestEffort.AddOutOfReach(max(room.MilliCPU, 0))
	case e.doubtful():
		x.LargestRoom.Raise(room)
	}
}

// timeLeft returns the estimated time until the running task ends.
func (t *task) timeLeft(now time.Time) time.Duration {
	switch {
	case t.stopping:
		return 0
	case t.percent >= minEstimatePercent:
		return max(t.remainingTime(now), 0)
	}
	return max(t.step.Estimate-now.Sub(t.startedAt), 0)
}

// addWaitingWork adds the work of a job that has no worker to the summary of its service.
func (s *Scheduler) addWaitingWork(now time.Time, sum *overload.Summary, j *job) {
	q := s.queueConfig(j)
	x := sum.Service(q.Service)
	objective := j.objective(q)
	total := 0.0
	for _, o := range j.occurrences {
		if o.unfinished == 0 {
			continue
		}
		objectiveStart, due := j.objectiveStart(now, o)
		if !due {
			continue
		}
		waited := now.Sub(objectiveStart)
		for i, st := range o.steps {
			unassigned := j.Steps[i].Count
			if st != nil {
				unassigned = st.unassigned
			}
			if unassigned == 0 || st != nil && st.unfinished == 0 {
				continue
			}
			ready := st != nil && o.ready(i)
			if j.Steps[i].LongRunning {
				if ready {
					x.WaitingLongRunning += unassigned
					x.LongRunningWait = max(x.LongRunningWait, st.longestWait(now))
				}
				continue
			}
			if !x.LargestRoom.Fits(reservation(&j.Steps[i])) {
				// No worker can take it, so it delays nothing.
				continue
			}
			if ready {
				x.WaitingTasks += unassigned
				if j.Steps[i].BestEffort {
					x.WaitingBestEffort += unassigned
				}
			}
			work := float64(unassigned) * taskWork(&j.Steps[i])
			late := objective-waited < j.pathsToEnd[i]
			x.AddWaiting(q.Priority, j.Steps[i].BestEffort, late, j.agedWork(waited, objective), work)
			total += work
		}
	}
	if total == 0 {
		return
	}
	x.Queues = overload.AddShare(x.Queues, j.Queue, q.Priority, total)
	if dc := s.load.origins[j.ID]; dc != "" {
		x.DataCentres = overload.AddShare(x.DataCentres, dc, q.Priority, total)
	}
}

// longestWait returns how long the task has waited that has done so longest.
func (st *step) longestWait(now time.Time) time.Duration {
	var longest time.Duration
	for t := range st.records() {
		if t.worker == nil && !t.waitingSince.IsZero() {
			longest = max(longest, now.Sub(t.waitingSince))
		}
	}
	return longest
}

// predict estimates the start and the end of a job that was just added.
func (s *Scheduler) predict(now time.Time, j *job) {
	if j.Repeat == 0 {
		defer s.addArrival(now, j)
	}
	sum := s.load.summary
	if sum == nil || now.Sub(s.load.computedAt) > overload.MaxAge || j.Repeat > 0 || len(j.Steps) == 0 || j.state.Final() || j.started {
		return
	}
	x := overload.Job{Job: j.Job, Queue: s.queueConfig(j)}
	if waited := now.Sub(j.Accepted); !j.Accepted.IsZero() && waited >= time.Second {
		// The job was refused before. Shorter times are the clocks' difference.
		x.Waited = waited
	}
	e := sum.Estimate(x)
	if e.Certain {
		j.predicted = &e
	}
}

// An EstimateError compares the estimate at the addition of a completed job with what was seen.
type EstimateError struct {
	Queue                                            string
	PredictedStart, SeenStart, PredictedEnd, SeenEnd time.Duration
}

// EstimateError returns the error of the estimate of a job; false if the job had none or didn't complete.
func (s *Scheduler) EstimateError(id batch.JobID) (EstimateError, bool) {
	j := s.jobs[id]
	if j == nil || j.predicted == nil || j.state != batch.Completed || j.firstStartAt.IsZero() {
		return EstimateError{}, false
	}
	return EstimateError{
		Queue: j.Queue, PredictedStart: j.predicted.Start, SeenStart: j.firstStartAt.Sub(j.addedAt),
		PredictedEnd: j.predicted.End, SeenEnd: j.endedAt.Sub(j.addedAt),
	}, true
}

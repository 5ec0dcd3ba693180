package overload

import (
	"hash/fnv"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// MaxAge is how old a summary may be to refuse a job by it: four pings.
	MaxAge = 2 * time.Second
	// hopelessFactor is after how many objectives a job is of no use any more. The objective is
	// what the callers of a queue are content with. The estimate is rather too early
	// than too late, so that a job for which it shows twice the objective ends much later.
	hopelessFactor = 2
	// fairMargin is how many times its fair share of the waiting work a queue or data centre
	// has to have to be taken for the cause of the overload.
	fairMargin = 1.5
	// spareFactor multiplies the limit of jobs that don't belong to the cause of the overload.
	spareFactor = 2
	// maxRetryAfter bounds Retry-After, as no forecast holds for longer.
	maxRetryAfter = 30 * time.Second
	// dueMargin is how soon a timed job has to be due to be weighed against present room.
	dueMargin = time.Second
)

// A Reason tells why a job is admitted or refused.
type Reason string

// The reasons of decisions.
const (
	NoSummary      Reason = "noSummary"
	NothingWaits   Reason = "nothingWaits"
	Fits           Reason = "fits"
	DueLater       Reason = "dueLater"
	Uncertain      Reason = "uncertain"
	Useful         Reason = "useful"
	NoRoomInTime   Reason = "noRoomInTime"
	NoRoomInSight  Reason = "noRoomInSight"
	RoomInSight    Reason = "roomInSight"
	NeverPossible  Reason = "noWorkerLargeEnough"
	UnknownService Reason = "unknownService"
)

// A Decision tells whether a job is admitted.
type Decision struct {
	Refuse bool
	// RetryAfter is in how many whole seconds a refused caller should return.
	RetryAfter time.Duration
	Estimate   Estimate
	// Limit is the longest wait for room at which the job would have been admitted.
	Limit  time.Duration
	Reason Reason
}

// Decide decides whether a job is admitted. It refuses a job only if the summary is fresh
// and shows that work waits, that no worker could run a task of the job now, and that its
// wait for room alone makes it useless. A nil summary admits.
func Decide(now time.Time, s *Summary, q batch.Queue, j Job) Decision {
	if s == nil || now.Sub(s.ReceivedAt) > MaxAge {
		return Decision{Reason: NoSummary}
	}
	j.Queue = q
	x := s.find(q.Service)
	if x == nil || x.Workers == 0 {
		// The workers may be about to connect.
		return Decision{Reason: UnknownService}
	}
	if j.Repeat > 0 && j.Start.After(now.Add(dueMargin)) {
		return Decision{Reason: DueLater}
	}
	if x.fitsNow(j.Job) {
		return Decision{Reason: Fits}
	}
	p := newPlan(j.Job)
	objective := Objective(q, p.path)
	limit := hopelessFactor * x.leniency(j) * objective
	if p.hasLongRunning {
		return x.decideLongRunning(j, limit)
	}
	if !x.waits(p.reserved == 0) {
		return Decision{Reason: NothingWaits}
	}
	d := Decision{Estimate: s.Estimate(j)}
	d.Limit = limit - min(d.Estimate.Alone, objective)
	switch {
	case !d.Estimate.Certain:
		d.Reason = Uncertain
	case d.Estimate.Wait() <= d.Limit:
		d.Reason = Useful
	default:
		d.Refuse, d.Reason, d.RetryAfter = true, NoRoomInTime, retryAfter(d.Estimate.Wait()-d.Limit, j.ID)
	}
	return d
}

// waits reports whether tasks wait that compete with a job, which has best-effort steps only or others too.
func (x *Service) waits(bestEffort bool) bool {
	if bestEffort {
		return x.WaitingTasks > 0
	}
	return x.WaitingTasks > x.WaitingBestEffort
}

// fitsNow reports whether a worker may have room for a task of j now.
func (x *Service) fitsNow(j *batch.Job) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		need := s.Need
		if s.BestEffort {
			// It starts where half of its request is left.
			if x.LargestSpare < need.MilliCPU/2 {
				continue
			}
			need.MilliCPU = 0
		}
		if x.LargestFree.Fits(need) || !s.LongRunning && s.Estimate <= x.HeldFor && x.LargestHeld.Fits(need) {
			return true
		}
	}
	return false
}

// decideLongRunning decides about a job with long-running tasks, none of which fits now. It is
// refused where other long-running tasks take all room that is large enough, and some
// of them have waited in vain for so long that no room is in sight.
func (x *Service) decideLongRunning(j Job, limit time.Duration) Decision {
	d := Decision{Limit: limit, Reason: NeverPossible}
	for i := range j.Steps {
		switch s := &j.Steps[i]; {
		case !s.LongRunning || x.LargestRoom.Fits(s.Need):
			// Finite work frees the room, which is then held for long-running tasks.
			d.Reason = RoomInSight
			return d
		case x.LargestCapacity.Fits(s.Need):
			d.Reason = NoRoomInSight
		}
	}
	switch {
	case d.Reason != NoRoomInSight:
	case x.WaitingLongRunning == 0 || x.LongRunningWait <= limit:
		d.Reason = Uncertain
	default:
		d.Refuse, d.RetryAfter = true, retryAfter(x.LongRunningWait-limit, j.ID)
	}
	return d
}

// leniency returns the factor of the limit of j: a flood of one queue or data centre makes
// its own jobs be refused first.
func (x *Service) leniency(j Job) time.Duration {
	queueFloods, anyQueue := floods(x.Queues, j.Queue.Priority, j.Job.Queue)
	centreFloods, anyCentre := floods(x.DataCentres, j.Queue.Priority, j.DataCentre)
	if (anyQueue || anyCentre) && !queueFloods && !centreFloods {
		return spareFactor
	}
	return 1
}

// floods reports whether the share with a name is far larger than the others of its priority,
// and whether any of them is.
func floods(shares []Share, priority int, name string) (own, any bool) {
	total, count := 0, 0
	for _, s := range shares {
		if s.Priority == priority {
			total, count = total+s.Work, count+1
		}
	}
	for _, s := range shares {
		if s.Priority == priority && count > 1 && float64(s.Work)*float64(count) > fairMargin*float64(total) {
			own, any = own || s.Name == name, true
		}
	}
	return own, any
}

// retryAfter returns when a caller should return whose job would be admitted after the
// excess of its wait is over. The job's ID spreads callers over half of that time and a second.
func retryAfter(excess time.Duration, id batch.JobID) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := float64(h.Sum32()) / (1 << 32) * float64(excess/2+time.Second)
	after := min(excess+time.Duration(spread), maxRetryAfter)
	return max((after+time.Second-1)/time.Second, 1) * time.Second
}

package overload

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A Job is a job at its submission.
type Job struct {
	*batch.Job
	// Queue is the configuration of its queue.
	Queue batch.Queue
	// DataCentre is where the job was submitted; empty if unknown.
	DataCentre string
	// Waited is the time since the job was first refused.
	Waited time.Duration
}

// An Estimate is when a job is expected to start and end, from its submission on.
type Estimate struct {
	Start, End time.Duration
	// Alone is when the job would end if nothing waited or ran beside it.
	Alone time.Duration
	// Certain is false where the summary doesn't tell when the job starts.
	Certain bool
}

// Wait returns the part of the estimated time that the job spends waiting for room.
func (e Estimate) Wait() time.Duration { return e.End - e.Alone }

// plan is what an estimate needs to know of one occurrence of a job.
type plan struct {
	// path is the duration of the longest chain of finite steps.
	path time.Duration
	// last is the duration of the last step of that chain.
	last time.Duration
	// reserved and bestEffort are the work of its steps of each kind, in core-seconds.
	reserved, bestEffort float64
	hasLongRunning       bool
}

// newPlan returns the plan of a job.
func newPlan(j *batch.Job) plan {
	var p plan
	var buffer [8]time.Duration
	ends := buffer[:0]
	for i := range j.Steps {
		s := &j.Steps[i]
		var start time.Duration
		for _, a := range s.DependsOn {
			start = max(start, ends[a])
		}
		ends = append(ends, start+s.Estimate)
		if end := start + s.Estimate; end >= p.path {
			p.path, p.last = end, s.Estimate
		}
		work := float64(s.Count) * float64(s.Need.MilliCPU) / 1000 * s.Estimate.Seconds()
		switch {
		case s.LongRunning:
			p.hasLongRunning = true
		case s.BestEffort:
			p.bestEffort += work
		default:
			p.reserved += work
		}
	}
	return p
}

// Objective returns the time in which a job should complete.
func Objective(q batch.Queue, path time.Duration) time.Duration {
	return max(time.Duration(q.Stretch*float64(path))+q.Objective, time.Millisecond)
}

// Estimate returns when j is expected to start and end. Of equally urgent work only that with
// a lower rank precedes it, and work that is submitted later only for ArrivalHorizon.
func (s *Summary) Estimate(j Job) Estimate {
	x := s.find(j.Queue.Service)
	if x == nil || x.Workers == 0 {
		return Estimate{}
	}
	p := newPlan(j.Job)
	objective := Objective(j.Queue, p.path)
	rank := (p.reserved + p.bestEffort) * float64(j.Occurrences()) / (1 + j.Waited.Seconds()/objective.Seconds())
	inTime := time.Duration(inTimeMargin*float64(objective)) - j.Waited
	e := Estimate{Start: -1, End: p.path, Alone: p.path, Certain: true}
	for _, kind := range []struct {
		room       *Room
		bestEffort bool
		work       float64
	}{{&x.Reserved, false, p.reserved * 1000}, {&x.BestEffort, true, p.bestEffort * 1000}} {
		if kind.work == 0 {
			continue
		}
		a := x.ahead(j.Queue.Priority, rank, kind.bestEffort)
		start, end, ok := a.place(kind.room, kind.work, inTime-p.path, inTime-p.last)
		alone := Room{Free: kind.room.total()}
		aloneEnd, left := alone.drain(0, forever, kind.work, 0)
		if !ok || left > 0 {
			return Estimate{}
		}
		if e.Start < 0 || start < e.Start {
			e.Start = start
		}
		e.End = max(e.End, end, start+p.path)
		e.Alone = max(e.Alone, aloneEnd)
	}
	e.Start = max(e.Start, 0)
	return e
}

// inTimeMargin is how many objectives work is taken to be placed as work in time. Late work
// waits until no other arrives, so that to expect it too early would refuse
// jobs that just make it.
const inTimeMargin = 1.5

// forever is longer than any forecast.
const forever = 1000 * time.Hour

// ahead is the work, in thousandths of a core-second, and the rate, in thousandths of a core,
// at which work arrives, that is placed before a job.
type ahead struct {
	// inTime and arriving precede the job while it can complete within its objective.
	inTime, arriving float64
	// late precedes it once it is late itself, and so does all work that arrives then.
	late, arrivingInTime float64
}

// ahead returns the work that is placed before that of a priority and rank. Best-effort tasks
// reserve no processor time, so their work isn't ahead of reserved work.
func (x *Service) ahead(priority int, rank float64, bestEffort bool) ahead {
	var a ahead
	class := rankClass(rank)
	for i := range x.Waiting {
		w := &x.Waiting[i]
		if w.BestEffort && !bestEffort || w.Priority > priority {
			continue
		}
		work, arriving, arrivingInTime := 0.0, 0.0, 0.0
		for c := range rankClasses {
			part := 0.0
			switch {
			case w.Priority < priority || c < class:
				part = 1
			case c == class:
				part = rankFraction(rank, class)
			}
			work += part * float64(w.Work[c])
			arriving += part * float64(w.Arriving[c])
			arrivingInTime += float64(w.Arriving[c])
		}
		if w.Late && w.Priority == priority {
			a.late += work
		} else {
			a.inTime += work
		}
		a.arriving += arriving
		a.arrivingInTime += arrivingInTime
	}
	return a
}

// place returns when work starts and ends that is placed behind a, and false if it never is.
// The work can't start in time any more after startBy, and the rest of it not after lastBy.
func (a ahead) place(r *Room, work float64, startBy, lastBy time.Duration) (start, end time.Duration, ok bool) {
	start, left := r.drain(0, max(startBy, 0), a.inTime, a.arriving)
	late := a.late
	if left > 0 {
		start, left = r.drain(start, forever, left+late, a.arrivingLate(r))
		late = 0
	}
	if left > 0 {
		return 0, 0, false
	}
	end, left = r.drain(start, max(lastBy, start), work, a.arriving)
	if left > 0 {
		end, left = r.drain(end, forever, left+late, a.arrivingLate(r))
	}
	return start, end, left <= 0
}

// arrivingLate returns the rate at which work arrives that precedes late work. Work with a
// lower rank precedes it in any case, other work only while it is in time itself.
func (a ahead) arrivingLate(r *Room) float64 {
	return max(a.arriving, min(a.arrivingInTime, float64(r.total())))
}

// rankFraction returns the part of a class that is below rank if its work is spread evenly.
func rankFraction(rank float64, class int) float64 {
	if class == 0 {
		return rank
	}
	low := float64(int(1) << (class - 1))
	return min((rank-low)/low, 1)
}

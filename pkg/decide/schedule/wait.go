package schedule

import (
	"fmt"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// An exclusion is why a worker may not be given a task.
type exclusion int

const (
	// eligible workers may take the task.
	eligible exclusion = iota
	otherService
	unresponsive
	// evacuated workers are in a data centre whose evacuation is requested.
	evacuated
	draining
	quarantined
	// probing workers show by one run at a time whether they are healthy again.
	probing
	// slow workers were shown as such by their latency-critical tasks.
	slow
	lacksCPU
	lacksMemory
	lacksGPU
	lacksLabel
	otherRack
	// held workers keep their room for a long-running task.
	held
	atTaskLimit
	lacksSpareCPU
	wouldInterfere
	// unadvised workers wait for the decision of the policy service.
	unadvised
	denied
	// avoided workers are on the machine where the task last failed, was refused as unhealthy or was too slow.
	avoided
	// failedLately workers get no last attempt of a task.
	failedLately
	exclusions
)

// doubtful reports whether the worker is left out only as its health is in doubt.
func (e exclusion) doubtful() bool { return e == quarantined || e == probing || e == slow }

// lacking returns which of the needed resources isn't free, or eligible if all are.
func lacking(need, free batch.Resources) exclusion {
	switch {
	case need.Fits(free):
		return eligible
	case need.MilliCPU > free.MilliCPU:
		return lacksCPU
	case need.MemoryMB > free.MemoryMB:
		return lacksMemory
	}
	return lacksGPU
}

var exclusionNames = [exclusions]string{
	"eligible", "otherService", "unresponsive", "evacuated", "draining", "quarantined", "probing", "slow", "lacksCpu", "lacksMemory", "lacksGpu", "lacksLabel", "otherRack", "held",
	"atTaskLimit", "lacksSpareCpu", "wouldInterfere", "unadvised", "denied", "avoided", "failedLately",
}

// ExclusionCounts counts the workers by why they may not be given a task.
type ExclusionCounts [exclusions]int

// String returns the counts above zero, such as "quarantined:2 lacksCpu:9".
func (c ExclusionCounts) String() string {
	var b strings.Builder
	for e, n := range c {
		if n == 0 || exclusion(e) == otherService {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%d", exclusionNames[e], n)
	}
	return b.String()
}

// A Wait tells why a task has no worker.
type Wait struct {
	Task batch.Task
	// Waited is how long the task has not been at work.
	Waited time.Duration
	// Backoff is how long the task is not started after a refusal, or as a start may still be carried out late; 0 if it may be.
	Backoff time.Duration
	// Workers counts the workers of its service by why they may not take it.
	Workers ExclusionCounts
}

const (
	// waitReportInterval is the time between two reports of waiting tasks.
	waitReportInterval = time.Second
	// maxWaitReports bounds the tasks of one report.
	maxWaitReports = 16
)

// recordWaits records since when the tasks of a long-running step have been waiting.
func (s *step) recordWaits(now time.Time) {
	for t := range s.records() {
		if t.worker == nil && t.waitingSince.IsZero() {
			t.waitingSince = now
		}
	}
}

// reportWaits adds to o why tasks have no worker, of those that have waited longer than
// waitReportInterval: long-running ones, and finite ones that only evacuated data centres can run.
func (s *Scheduler) reportWaits(now time.Time, pending []pendingStep, o *Orders) {
	if now.Sub(s.waitsReportedAt) < waitReportInterval {
		return
	}
	s.waitsReportedAt = now
	for _, c := range pending {
		if len(o.Waits) == maxWaitReports || !c.step.LongRunning && len(s.evacuations) == 0 {
			// Long-running steps come first.
			return
		}
		if !c.step.LongRunning {
			s.reportEvacuatedWait(now, c.step, o)
			continue
		}
		for t := range c.step.records() {
			if t.worker == nil && now.Sub(t.waitingSince) >= waitReportInterval && len(o.Waits) < maxWaitReports {
				o.Waits = append(o.Waits, Wait{
					Task: t.id, Waited: now.Sub(t.waitingSince), Backoff: t.backoff(now), Workers: s.countExclusions(now, c.step, t),
				})
			}
		}
	}
}

// reportEvacuatedWait adds to o one task of a finite step that only workers in evacuated data
// centres can run.
func (s *Scheduler) reportEvacuatedWait(now time.Time, st *step, o *Orders) {
	if !s.needsEvacuated(st) {
		st.needsEvacuatedSince = time.Time{}
		return
	}
	if st.needsEvacuatedSince.IsZero() {
		st.needsEvacuatedSince = now
	}
	waited := now.Sub(st.needsEvacuatedSince)
	if waited < waitReportInterval {
		return
	}
	if t := st.firstWaiting(); t != nil {
		o.Waits = append(o.Waits, Wait{Task: t.id, Waited: waited, Backoff: t.backoff(now), Workers: s.countExclusions(now, st, t)})
	}
}

// needsEvacuated reports whether workers in evacuated data centres could run a task of st, and no
// other worker could if it were empty.
func (s *Scheduler) needsEvacuated(st *step) bool {
	service, found := s.queueConfig(st.job).Service, false
	for _, w := range s.workerList {
		if w.Service != service || !st.Need.Fits(w.Capacity) || st.RequiredLabel != "" && !w.HasLabel(st.RequiredLabel) {
			continue
		}
		if !w.evacuated {
			return false
		}
		found = true
	}
	return found
}

// countExclusions counts the workers by why they may not be given t.
func (s *Scheduler) countExclusions(now time.Time, st *step, t *task) ExclusionCounts {
	var n ExclusionCounts
	x := s.newSearch(now, st, "", nil)
	x.lastResort = t.lastResortDue(now)
	for _, w := range s.workerList {
		n[x.exclude(t, w)]++
	}
	return n
}

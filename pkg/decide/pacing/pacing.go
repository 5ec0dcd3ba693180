// Package pacing sets the pace of the best-effort tasks on one host. The tail
// latency of a latency-critical task rises within seconds when its own load or
// that of a neighbour does. The best-effort tasks that interfere with it are
// then throttled first, and recover as far as the tail latencies allow.
package pacing

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

const (
	// stepInterval is the time between two steps. It is the measurement window,
	// so that each step has new samples.
	stepInterval = batch.LoadWindow
	// throttleTailShare is the share of the latency target above which aggressors
	// are throttled.
	throttleTailShare = 0.85
	// goalTailShare is the share of the latency target down to which aggressors
	// are throttled, and up to which they recover.
	goalTailShare = 0.65
	// continuousViolationLimit is how long a tail latency may stay above its
	// target before all best-effort tasks are halted, including those that aren't
	// known to interfere. It is a quarter of the time after which a violation
	// counts as harm, because the sample, the order and the response of the tail
	// take up to two seconds more.
	continuousViolationLimit = time.Second
	// violationTailShare is the share of the latency target that counts as a
	// violation. It is below 1 because the samples are imprecise.
	violationTailShare = 0.95
	// intermittentViolationLimit is how long a tail latency may cross its target
	// repeatedly before all best-effort tasks are halted. Together with the
	// response time of the tail, the halt still takes effect in time.
	intermittentViolationLimit = 1500 * time.Millisecond
	// minSamplesBelowTarget is how many consecutive samples have to be below the
	// target to end an intermittent violation. A single imprecise sample may be too low.
	minSamplesBelowTarget = 2
	// tailResponseTime is how long a tail latency takes to follow a change of pace.
	tailResponseTime = 900 * time.Millisecond
	// defaultThrottleFactor multiplies the paces where the aggressor or the
	// required reduction is unknown.
	defaultThrottleFactor = 0.4
	// maxRecoveryStep is the largest increase of a pace in one step, in percent.
	maxRecoveryStep = 50
	// maxTailForecast bounds a forecast tail latency, as a multiple of the current one.
	maxTailForecast = 2
	// minPace is the pace in percent below which a task is halted.
	minPace = 8
	// fullPace is the pace in percent of a task that isn't throttled; tasks start at it.
	fullPace = 100
	// defaultIdleTailShare is the share of the latency target assumed as the idle
	// tail latency of a victim for which none was reported.
	defaultIdleTailShare = 0.2
	// minInterference is the occupancy of a victim below which a task doesn't count
	// as an aggressor.
	minInterference = 0.02
	// paceEffectDelay is the time after an order until the processor use of a run
	// reflects it: the order takes effect, then a whole window is measured.
	paceEffectDelay = 1200 * time.Millisecond
	// paceToleranceFactor and paceToleranceMilliCPU bound how far the processor use of
	// a run may exceed its pace, as the samples are imprecise.
	paceToleranceFactor   = 1.6
	paceToleranceMilliCPU = 150
)

// A RunSample is a run as listed by the worker, with the properties of its step.
type RunSample struct {
	Task   batch.Task
	Number int
	// TailLatency is the tail latency of a latency-critical run.
	TailLatency time.Duration
	// LatencyTarget bounds TailLatency; 0 for a run that isn't latency-critical.
	LatencyTarget time.Duration
	BestEffort    bool
	Image         string
	// UsedMilliCPU is the processor time in use, in thousandths of a core.
	UsedMilliCPU int
	// RequestedMilliCPU is the processor time that the run requests, in thousandths of a core.
	RequestedMilliCPU int
	// Adopted is set for a run that was started before this process; its pace isn't known.
	Adopted bool
}

// A PaceChange sets the pace of a run.
type PaceChange struct {
	Task    batch.Task
	Number  int
	Percent int
	// WorstTailShare is the highest ratio of a tail latency to its target on the worker.
	WorstTailShare float64
}

type runKey struct {
	task   batch.Task
	number int
}

// A Machine paces the runs of one worker.
type Machine struct {
	// CapacityMilliCPU is the processor time of the worker, in thousandths of a core.
	CapacityMilliCPU int
	// InterferenceWeight returns the occupancy of a victim that a share of 1 of an
	// aggressor adds, if that is known.
	InterferenceWeight func(victim, aggressor string) (weight float64, known bool)
	// IdleTail returns the lowest tail latency of a victim, or 0 if it is unknown.
	IdleTail func(victim string) time.Duration

	paces map[runKey]int
	// paceSetAt is when the pace of a run was last sent.
	paceSetAt map[runKey]time.Time
	// violatedSince is the start of a continuous violation of a latency target,
	// intermittentSince that of an intermittent one, and samplesBelowTarget the
	// number of consecutive samples without a violation.
	violatedSince, intermittentSince map[runKey]time.Time
	samplesBelowTarget               map[runKey]int
	// tails are the tail latencies of the previous step.
	tails map[runKey]time.Duration
	// throttledAt is when best-effort tasks were last throttled for a victim.
	throttledAt map[runKey]time.Time
	lastStep    time.Time
}

// Pace returns the pace of a run in percent.
func (m *Machine) Pace(t batch.Task, number int) int {
	if p, ok := m.paces[runKey{t, number}]; ok {
		return p
	}
	return fullPace
}

// Throttling reports whether any best-effort task is throttled.
func (m *Machine) Throttling() bool {
	for _, p := range m.paces {
		if p < fullPace {
			return true
		}
	}
	return false
}

// weight returns the interference weight of a pair, or the prior where it is unknown.
func (m *Machine) weight(victim, aggressor string) float64 {
	if m.InterferenceWeight != nil {
		if w, ok := m.InterferenceWeight(victim, aggressor); ok {
			return w
		}
	}
	return interfere.PriorWeight
}

// occupancy returns the current occupancy of v, and the highest one at which
// its tail latency stays within a share of its target.
func (m *Machine) occupancy(v RunSample, share float64) (current, allowed float64) {
	idle := time.Duration(0)
	if m.IdleTail != nil {
		idle = m.IdleTail(v.Image)
	}
	if idle <= 0 {
		idle = time.Duration(defaultIdleTailShare * float64(v.LatencyTarget))
	}
	return interfere.Occupancy(idle, v.TailLatency), interfere.Occupancy(idle, time.Duration(share*float64(v.LatencyTarget)))
}

// occupancyTaken returns the part of v's occupancy that is due to r.
func (m *Machine) occupancyTaken(v, r RunSample) float64 {
	return m.weight(v.Image, r.Image) * interfere.Share(r.UsedMilliCPU, m.CapacityMilliCPU)
}

// Step takes the samples of one poll of the worker, appends the resulting pace
// changes to out and returns it.
func (m *Machine) Step(now time.Time, samples []RunSample, out []PaceChange) []PaceChange {
	if now.Sub(m.lastStep) < stepInterval {
		return out
	}
	m.lastStep = now
	m.removeEnded(samples)
	worst := 0.0
	// factors holds the factor by which the pace of each run is multiplied.
	factors := map[runKey]float64{}
	tails := map[runKey]time.Duration{}
	for i := range samples {
		// Recovery below also goes by the forecast, so it takes the place of the sample.
		v := &samples[i]
		if v.LatencyTarget <= 0 || v.TailLatency <= 0 {
			continue
		}
		share := float64(v.TailLatency) / float64(v.LatencyTarget)
		worst = max(worst, share)
		m.trackViolation(now, *v, share)
		k := runKey{v.Task, v.Number}
		tails[k] = v.TailLatency
		if last, ok := m.tails[k]; ok && last < v.TailLatency {
			v.TailLatency = forecastTail(last, v.TailLatency)
		}
		if float64(v.TailLatency) > throttleTailShare*float64(v.LatencyTarget) {
			m.throttleAggressors(now, *v, samples, factors)
		}
	}
	m.tails = tails
	for _, r := range samples {
		if !r.BestEffort {
			continue
		}
		k := runKey{r.Task, r.Number}
		old, ok := m.paces[k]
		if !ok {
			old = fullPace
		}
		p := old
		if f, ok := factors[k]; ok {
			if p = int(float64(old) * f); p < minPace {
				p = 0
			}
		} else if old < fullPace {
			p = m.recoveredPace(old, r, samples)
		}
		m.paces[k] = p
		if p != old || !ok && r.Adopted || m.exceedsPace(now, k, r, p) {
			m.paceSetAt[k] = now
			out = append(out, PaceChange{Task: r.Task, Number: r.Number, Percent: p, WorstTailShare: worst})
		}
	}
	return out
}

// forecastTail returns the tail latency of the next window if the occupancy rises
// as it did from the previous window to this one.
func forecastTail(previous, current time.Duration) time.Duration {
	// With the occupancy 1-idle/tail, the inverse of the tail falls by the same amount.
	inverse := 2/current.Seconds() - 1/previous.Seconds()
	return time.Duration(min(float64(time.Second)/max(inverse, 1e-9), float64(maxTailForecast*current)))
}

// exceedsPace reports whether a run uses more than its pace allows: an earlier
// order may have been executed after the last one.
func (m *Machine) exceedsPace(now time.Time, k runKey, r RunSample, pace int) bool {
	at, sent := m.paceSetAt[k]
	if !sent || pace >= fullPace || now.Sub(at) < paceEffectDelay {
		return false
	}
	return float64(r.UsedMilliCPU) > paceToleranceFactor*float64(r.RequestedMilliCPU*pace)/fullPace+paceToleranceMilliCPU
}

// removeEnded creates the maps on first use and drops the state of runs that are no
// longer listed.
func (m *Machine) removeEnded(samples []RunSample) {
	listed := map[runKey]bool{}
	for _, r := range samples {
		listed[runKey{r.Task, r.Number}] = true
	}
	if m.paces == nil {
		m.paces = map[runKey]int{}
		m.violatedSince, m.throttledAt, m.paceSetAt = map[runKey]time.Time{}, map[runKey]time.Time{}, map[runKey]time.Time{}
		m.intermittentSince, m.samplesBelowTarget = map[runKey]time.Time{}, map[runKey]int{}
	}
	for k := range m.paces {
		if !listed[k] {
			delete(m.paces, k)
		}
	}
	for k := range m.samplesBelowTarget {
		if !listed[k] {
			delete(m.samplesBelowTarget, k)
		}
	}
	for _, x := range []map[runKey]time.Time{m.violatedSince, m.intermittentSince, m.throttledAt, m.paceSetAt} {
		for k := range x {
			if !listed[k] {
				delete(x, k)
			}
		}
	}
}

// trackViolation records since when the tail latency of v violates its target.
func (m *Machine) trackViolation(now time.Time, v RunSample, share float64) {
	k := runKey{v.Task, v.Number}
	if share > violationTailShare {
		m.samplesBelowTarget[k] = 0
		recordStart(m.violatedSince, k, now)
		recordStart(m.intermittentSince, k, now)
		return
	}
	delete(m.violatedSince, k)
	if m.samplesBelowTarget[k]++; m.samplesBelowTarget[k] >= minSamplesBelowTarget {
		delete(m.intermittentSince, k)
	}
}

// recordStart sets the start time of k unless it is already set.
func recordStart(since map[runKey]time.Time, k runKey, now time.Time) {
	if _, ok := since[k]; !ok {
		since[k] = now
	}
}

// hasLasted reports whether k has a start time at least d before now.
func hasLasted(since map[runKey]time.Time, k runKey, now time.Time, d time.Duration) bool {
	at, ok := since[k]
	return ok && now.Sub(at) >= d
}

// throttleAggressors lowers the factors of the runs that interfere with v, as
// far as needed to bring its tail latency down to goalTailShare of the target.
// Violations that last too long halt all best-effort runs.
func (m *Machine) throttleAggressors(now time.Time, v RunSample, samples []RunSample, factors map[runKey]float64) {
	k := runKey{v.Task, v.Number}
	all := hasLasted(m.violatedSince, k, now, continuousViolationLimit) || hasLasted(m.intermittentSince, k, now, intermittentViolationLimit)
	if now.Sub(m.throttledAt[k]) < tailResponseTime && !all {
		// The tail latency doesn't reflect the last change yet, so the aggressors
		// keep their pace.
		for _, r := range samples {
			if r.BestEffort && m.occupancyTaken(v, r) >= minInterference {
				factors[runKey{r.Task, r.Number}] = min(factorOf(factors, r), 1)
			}
		}
		return
	}
	total := 0.0
	for _, r := range samples {
		if r.BestEffort {
			total += m.occupancyTaken(v, r)
		}
	}
	factor := defaultThrottleFactor
	if current, allowed := m.occupancy(v, goalTailShare); total > 0 {
		factor = max(1-(current-allowed)/total, 0)
		if current >= interfere.SaturatedOccupancy {
			// A saturated tail doesn't show how large the reduction has to be.
			factor = min(factor, defaultThrottleFactor)
		}
	}
	for _, r := range samples {
		if !r.BestEffort {
			continue
		}
		f := factor
		if all {
			f = 0
		} else if m.occupancyTaken(v, r) < minInterference {
			continue
		}
		m.throttledAt[k] = now
		factors[runKey{r.Task, r.Number}] = min(factorOf(factors, r), f)
	}
}

// factorOf returns the factor of r, 1 where none is set.
func factorOf(factors map[runKey]float64, r RunSample) float64 {
	if f, ok := factors[runKey{r.Task, r.Number}]; ok {
		return f
	}
	return 1
}

// recoveredPace returns the next higher pace of r. Each step is at most
// maxRecoveryStep and half of what the headroom of each victim allows.
func (m *Machine) recoveredPace(old int, r RunSample, samples []RunSample) int {
	// The share used at full pace follows from the current use and pace.
	use := interfere.Share(r.RequestedMilliCPU, m.CapacityMilliCPU)
	if old > 0 && r.UsedMilliCPU > 0 {
		use = interfere.Share(r.UsedMilliCPU, m.CapacityMilliCPU) * fullPace / float64(old)
	}
	step := float64(maxRecoveryStep)
	for _, v := range samples {
		if v.LatencyTarget <= 0 || v.TailLatency <= 0 {
			continue
		}
		taken := m.weight(v.Image, r.Image) * use
		if taken < minInterference {
			continue
		}
		current, allowed := m.occupancy(v, goalTailShare)
		if current >= allowed {
			return old
		}
		step = min(step, (allowed-current)/taken*fullPace/2)
	}
	return min(old+int(step), fullPace)
}

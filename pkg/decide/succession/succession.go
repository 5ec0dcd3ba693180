// Package succession decides which process is the leader and runs the
// scheduler. In the fleets it is made for, processes differ several times in
// processor time, and many may end at the same moment. Hence any process may
// take a vacant leadership soon, and later hands it over to a much stronger
// process that has stayed connected for a while.
package succession

import "time"

// A Process is a candidate for leadership.
type Process struct {
	Name string
	// Cores is the processor time that the process may use, in cores; 0 if unknown.
	Cores float64
	// LinkMbps is the bandwidth of its network link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// Host is set if tasks run on the same host.
	Host bool
	// StoreLatency is how long the store takes to answer the process.
	StoreLatency time.Duration
	// ConnectedSince is the start of its present uninterrupted contact with both
	// the scheduler and the store; zero if it lacks either.
	ConnectedSince time.Time
}

const (
	// sufficientCores is the processor time in cores above which more doesn't add
	// to a process's strength: three times what scheduling and its connections
	// use in large deployments.
	sufficientCores = 0.5
	// sufficientLinkMbps is the bandwidth in Mbit/s above which more doesn't add to a
	// process's strength: it reads a few megabytes of jobs in some tenths of a second.
	sufficientLinkMbps = 100
	// maxWeaknessWait is the election delay of a process of strength 0: long enough
	// for the others to poll the leadership and make four calls to a store in another region.
	maxWeaknessWait = 600 * time.Millisecond
	// hostWait delays processes on hosts that run tasks, so that the loss of one
	// host costs the scheduler or a worker, but not both.
	hostWait = 300 * time.Millisecond
	// storeLatencyFactor multiplies the store latency into a wait, so that a process
	// near the store is preferred.
	storeLatencyFactor = 4
	// maxStoreLatencyWait bounds the wait for store latency.
	maxStoreLatencyWait = 500 * time.Millisecond
	// minConnectedTime is how long a successor must have been connected: longer than a
	// process whose contact fails repeatedly stays connected between two faults.
	minConnectedTime = 4 * time.Second
	// minHandoverRatio is the ratio of a candidate's strength to the leader's from which
	// a handover is worth its interruption of some tenths of a second.
	minHandoverRatio = 1.5
)

// ElectionDelay returns how long p waits before it contends for a vacant
// leadership. The argument strongest is the strength of the strongest process
// that p knows of, 0 if none. Only a process weaker than that waits for its
// lack of strength, so that equals don't.
func ElectionDelay(p Process, strongest float64) time.Duration {
	w := min(p.StoreLatency*storeLatencyFactor, maxStoreLatencyWait)
	if p.Host {
		w += hostWait
	}
	if strongest <= 0 {
		strongest = 1
	}
	return w + time.Duration(max(1-Strength(p)/strongest, 0)*float64(maxWeaknessWait))
}

// Strongest returns the strength of the strongest process on a host that runs no tasks.
func Strongest(ps []Process) float64 {
	strongest := 0.0
	for _, p := range ps {
		if !p.Host {
			strongest = max(strongest, Strength(p))
		}
	}
	return strongest
}

// Strength returns the share of the resources needed for scheduling that p
// has, from 0 to 1: the smaller of its shares of processor time and bandwidth.
// An unknown resource counts as sufficient.
func Strength(p Process) float64 {
	s := 1.0
	if p.Cores > 0 {
		s = min(s, p.Cores/sufficientCores)
	}
	if p.LinkMbps > 0 {
		s = min(s, p.LinkMbps/sufficientLinkMbps)
	}
	return s
}

// Successor returns the process among others that is best suited to lead after
// a leader that shuts down; false if none has been connected for long enough.
func Successor(now time.Time, others []Process) (Process, bool) {
	var best Process
	for _, o := range others {
		if o.ConnectedSince.IsZero() || now.Sub(o.ConnectedSince) < minConnectedTime {
			continue
		}
		if best.Name == "" || betterSuited(o, best) {
			best = o
		}
	}
	return best, best.Name != ""
}

// HandoverCandidate returns the process that a leader able to go on should hand
// over to; false if none is much better suited.
func HandoverCandidate(now time.Time, leader Process, others []Process) (Process, bool) {
	h, ok := Successor(now, others)
	switch {
	case !ok, h.Host && !leader.Host:
		return Process{}, false
	case leader.Host && !h.Host:
		return h, Strength(h) >= Strength(leader)
	}
	return h, Strength(h) >= minHandoverRatio*Strength(leader)
}

// storeLatencyBucket is the width of the buckets in which store latencies are
// compared: less than the difference between two regions, more than the
// variation under load.
const storeLatencyBucket = 20 * time.Millisecond

// betterSuited reports whether a is better suited to lead than b. It prefers a
// process on a host without tasks, then strength, then low store latency; the
// name breaks ties.
func betterSuited(a, b Process) bool {
	switch {
	case a.Host != b.Host:
		return !a.Host
	case Strength(a) != Strength(b):
		return Strength(a) > Strength(b)
	case a.StoreLatency/storeLatencyBucket != b.StoreLatency/storeLatencyBucket:
		return a.StoreLatency < b.StoreLatency
	}
	return a.Name < b.Name
}

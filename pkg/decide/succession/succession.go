// Package succession decides which process schedules. It answers fleets whose
// processes differ several times in processor time and of which many end at
// the same moment: any process may take a free lead soon, and hands it over to
// a much stronger one once that is in touch for a while.
package succession

import "time"

// A Process is one that may schedule.
type Process struct {
	Name string
	// Cores is the processor time that it may use, in cores; 0 where it isn't known.
	Cores float64
	// LinkMbps is how much its link carries, in Mbit/s; 0 where it isn't known.
	LinkMbps float64
	// Host is set where work runs beside it.
	Host bool
	// StoreLatency is how long the store took to answer it.
	StoreLatency time.Duration
	// ConnectedSince is since when it has reached the scheduler and the store without a
	// break; zero where it doesn't.
	ConnectedSince time.Time
}

const (
	// sufficientCores is the processor time in cores from which more is of no use: three
	// times what scheduling the grown deployments takes with its links.
	sufficientCores = 0.5
	// sufficientLinkMbps is the capacity in Mbit/s from which more is of no use: it
	// reads a few megabytes of jobs in some tenths of a second.
	sufficientLinkMbps = 100
	// maxWeaknessWait is how long a process of no strength leaves a free lead to
	// others: until they have looked, and made four calls to a store in another region.
	maxWeaknessWait = 600 * time.Millisecond
	// hostWait lets processes without work beside them go first: the loss of
	// one then costs a scheduler or a worker, not both.
	hostWait = 300 * time.Millisecond
	// storeLatencyFactor turns the store's answer time into a wait, so that a near process leads.
	storeLatencyFactor = 4
	// maxStoreLatencyWait bounds that wait.
	maxStoreLatencyWait = 500 * time.Millisecond
	// minConnectedTime is how long an heir has to be in touch: longer than a process that
	// comes and goes by turns does between two faults.
	minConnectedTime = 4 * time.Second
	// minHandoverRatio is how many times the lead's processor time makes a handover
	// worth its break of some tenths of a second.
	minHandoverRatio = 1.5
)

// ElectionDelay returns how long p leaves a free lead to others. Strongest is the
// strength of the strongest process that p has heard of, 0 where none: among
// equals nobody waits for strength.
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

// Strongest returns the strength of the strongest process that no work runs beside.
func Strongest(ps []Process) float64 {
	most := 0.0
	for _, p := range ps {
		if !p.Host {
			most = max(most, Strength(p))
		}
	}
	return most
}

// Strength returns how much p has of what scheduling takes, from 0 to 1, by
// the scarcer of processor time and link; what isn't known is taken for enough.
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

// Successor returns the one of the others that is best suited to lead after a
// process that ends; false where none is in touch.
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

// HandoverCandidate returns the process that lead should hand over to while it could
// go on itself; false where none is much better suited.
func HandoverCandidate(now time.Time, lead Process, others []Process) (Process, bool) {
	h, ok := Successor(now, others)
	switch {
	case !ok, h.Host && !lead.Host:
		return Process{}, false
	case lead.Host && !h.Host:
		return h, Strength(h) >= Strength(lead)
	}
	return h, Strength(h) >= minHandoverRatio*Strength(lead)
}

// storeLatencyBucket is the difference of answer times below which two processes are equally
// storeLatencyBucket to the store: below that of two regions, above that of a busy moment.
const storeLatencyBucket = 20 * time.Millisecond

// betterSuited reports whether a is betterSuited suited than b: by what runs beside it,
// then by strength and by how near the store is.
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

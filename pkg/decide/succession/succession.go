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
	// Answer is how long the store took to answer it.
	Answer time.Duration
	// Since is since when it has reached the scheduler and the store without a
	// break; zero where it doesn't.
	Since time.Time
}

const (
	// enough is the processor time in cores from which more is of no use: three
	// times what scheduling the grown deployments takes with its links.
	enough = 0.5
	// enoughLink is the capacity in Mbit/s from which more is of no use: it
	// reads a few megabytes of jobs in some tenths of a second.
	enoughLink = 100
	// weakWait is how long a process of no strength leaves a free lead to
	// others: until they have looked, and made four calls to a store in another region.
	weakWait = 600 * time.Millisecond
	// hostWait lets processes without work beside them go first: the loss of
	// one then costs a scheduler or a worker, not both.
	hostWait = 300 * time.Millisecond
	// distanceFactor turns the store's answer time into a wait, so that a near process leads.
	distanceFactor = 4
	// maxDistance bounds that wait.
	maxDistance = 500 * time.Millisecond
	// calm is how long an heir has to be in touch: longer than a process that
	// comes and goes by turns does between two faults.
	calm = 4 * time.Second
	// stronger is how many times the lead's processor time makes a handover
	// worth its break of some tenths of a second.
	stronger = 1.5
)

// Wait returns how long p leaves a free lead to others. Strongest is the
// strength of the strongest process that p has heard of, 0 where none: among
// equals nobody waits for strength.
func Wait(p Process, strongest float64) time.Duration {
	w := min(p.Answer*distanceFactor, maxDistance)
	if p.Host {
		w += hostWait
	}
	if strongest <= 0 {
		strongest = 1
	}
	return w + time.Duration(max(1-Strength(p)/strongest, 0)*float64(weakWait))
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
		s = min(s, p.Cores/enough)
	}
	if p.LinkMbps > 0 {
		s = min(s, p.LinkMbps/enoughLink)
	}
	return s
}

// Heir returns the one of the others that is best suited to lead after a
// process that ends; false where none is in touch.
func Heir(now time.Time, others []Process) (Process, bool) {
	var best Process
	for _, o := range others {
		if o.Since.IsZero() || now.Sub(o.Since) < calm {
			continue
		}
		if best.Name == "" || better(o, best) {
			best = o
		}
	}
	return best, best.Name != ""
}

// Successor returns the process that lead should hand over to while it could
// go on itself; false where none is much better suited.
func Successor(now time.Time, lead Process, others []Process) (Process, bool) {
	h, ok := Heir(now, others)
	switch {
	case !ok, h.Host && !lead.Host:
		return Process{}, false
	case lead.Host && !h.Host:
		return h, Strength(h) >= Strength(lead)
	}
	return h, Strength(h) >= stronger*Strength(lead)
}

// near is the difference of answer times below which two processes are equally
// near to the store: below that of two regions, above that of a busy moment.
const near = 20 * time.Millisecond

// better reports whether a is better suited than b: by what runs beside it,
// then by strength and by how near the store is.
func better(a, b Process) bool {
	switch {
	case a.Host != b.Host:
		return !a.Host
	case Strength(a) != Strength(b):
		return Strength(a) > Strength(b)
	case a.Answer/near != b.Answer/near:
		return a.Answer < b.Answer
	}
	return a.Name < b.Name
}

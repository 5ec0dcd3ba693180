// Package overload decides at a job's submission whether it can still be of use. It
// addresses the load under which callers ask for more work than the workers have room
// for: a job that would wait for room until long after its objective is refused at
// once, so that its caller learns of it and the room goes to jobs that it still serves.
//
// The package is pure: the scheduler fills a Summary, which gateways receive with each
// pong, and Decide takes it with the current time.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// rankClasses is the number of classes of the rank by which equally urgent work is
	// ordered. Class 0 holds ranks below 1 core-second, and each further one ranks up to
	// twice as high, so that the last begins at 1,024.
	rankClasses = 12
	// freeingClasses is the number of classes of the time until running tasks end. Class 0
	// begins at 0, class 1 at minFreeing, and each further one at twice the one before.
	freeingClasses = 9
	minFreeing     = 250 * time.Millisecond
	// maxShares bounds the queues and data centres of a summary, so that it stays small.
	maxShares = 6
	// ArrivalHorizon is for how long work is expected to arrive as it did lately.
	ArrivalHorizon = 5 * time.Second
	// ArrivalWindow is over how long the rate of its arrival is averaged. With a longer one
	// the estimate follows a flood too late.
	ArrivalWindow = 2 * time.Second
	// outOfReachReturn is when the room of workers that are out of reach at present is
	// expected back. A silence that lasts longer removes the worker.
	outOfReachReturn = 4 * time.Second
)

// A Summary is what the scheduler knows of room and of waiting work. Processor time is in
// thousandths of a core, work in thousandths of a core-second.
type Summary struct {
	Services []Service `cbor:"1,keyasint,omitempty"`
	// ReceivedAt is when the summary was received, by the clock of the receiver.
	ReceivedAt time.Time `cbor:"-"`
}

// A Service is the room and the waiting work of the workers of one service. Labels and racks
// aren't told apart, so that room counts which some of the work can't use.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Workers is the number of workers that may be given work.
	Workers int `cbor:"2,keyasint,omitempty"`
	// LargestFree holds, by resource, the most that one worker has free, and LargestSpare the
	// most processor time that one has left for best-effort tasks.
	LargestFree  Amounts `cbor:"3,keyasint,omitzero"`
	LargestSpare int     `cbor:"4,keyasint,omitempty"`
	// LargestHeld is the same of workers whose room is kept for long-running tasks. Tasks that
	// take no longer than HeldFor may use it before.
	LargestHeld Amounts       `cbor:"16,keyasint,omitzero"`
	HeldFor     time.Duration `cbor:"17,keyasint,omitempty"`
	// LargestRoom is LargestFree without finite work; it covers workers out of reach too.
	// LargestCapacity is the same without any work.
	LargestRoom     Amounts `cbor:"5,keyasint,omitzero"`
	LargestCapacity Amounts `cbor:"6,keyasint,omitzero"`
	// Reserved is the room for tasks that reserve processor time, BestEffort the processor
	// time for those that use what others leave.
	Reserved   Room `cbor:"7,keyasint"`
	BestEffort Room `cbor:"8,keyasint"`
	// Waiting is the work that has no worker, of ready and later steps.
	Waiting []Waiting `cbor:"9,keyasint,omitempty"`
	// WaitingTasks is the number of tasks of ready steps that found no worker, and
	// WaitingBestEffort how many of these are best-effort tasks.
	WaitingTasks      int `cbor:"10,keyasint,omitempty"`
	WaitingBestEffort int `cbor:"11,keyasint,omitempty"`
	// WaitingLongRunning is the number of long-running tasks without a worker, and
	// LongRunningWait how long the one that has waited longest has.
	WaitingLongRunning int           `cbor:"12,keyasint,omitempty"`
	LongRunningWait    time.Duration `cbor:"13,keyasint,omitempty"`
	// Queues and DataCentres are the shares of the waiting work, the largest first.
	Queues      []Share `cbor:"14,keyasint,omitempty"`
	DataCentres []Share `cbor:"15,keyasint,omitempty"`
}

// Amounts are amounts of the resources of a worker.
type Amounts struct {
	_        struct{} `cbor:",toarray"`
	MilliCPU int
	MemoryMB int
	GPU      int
}

// Raise raises each amount to that of r.
func (a *Amounts) Raise(r batch.Resources) {
	a.MilliCPU, a.MemoryMB, a.GPU = max(a.MilliCPU, r.MilliCPU), max(a.MemoryMB, r.MemoryMB), max(a.GPU, r.GPU)
}

// Fits reports whether a task with the need may fit.
func (a Amounts) Fits(need batch.Resources) bool {
	return need.Fits(batch.Resources{MilliCPU: a.MilliCPU, MemoryMB: a.MemoryMB, GPU: a.GPU})
}

// Room is a forecast of processor time: what is free, and what is freed when by the ends of
// running tasks.
type Room struct {
	_     struct{} `cbor:",toarray"`
	Free  int
	Freed [freeingClasses]int
}

// Waiting is the waiting work of one priority and tier, by classes of its rank.
type Waiting struct {
	_          struct{} `cbor:",toarray"`
	Priority   int
	BestEffort bool
	// Late work can't complete within its objective any more, and is placed after the rest of its priority.
	Late bool
	Work [rankClasses]int
	// Arriving is the rate at which such work was added lately, in thousandths of a core; it is zero for late work.
	Arriving [rankClasses]int
}

// A Share is the waiting work of one queue or data centre with a priority.
type Share struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Priority int
	Work     int
}

// rankClass returns the class of a rank in core-seconds.
func rankClass(rank float64) int {
	if rank < 1 {
		return 0
	}
	return min(1+int(math.Log2(rank)), rankClasses-1)
}

// freeingClass returns the class of a time until a task ends.
func freeingClass(d time.Duration) int {
	c := 0
	for c+1 < freeingClasses && d >= freeingStart(c+1) {
		c++
	}
	return c
}

// freeingStart returns the time at which a class begins.
func freeingStart(class int) time.Duration {
	if class == 0 {
		return 0
	}
	return minFreeing << (class - 1)
}

// Service returns the service with a name and adds it where it is missing.
func (s *Summary) Service(name string) *Service {
	i := slices.IndexFunc(s.Services, func(x Service) bool { return x.Name == name })
	if i < 0 {
		s.Services = append(s.Services, Service{Name: name})
		i = len(s.Services) - 1
	}
	return &s.Services[i]
}

// find returns the service with a name, or nil.
func (s *Summary) find(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// AddFreed adds processor time that a running task frees after d.
func (r *Room) AddFreed(d time.Duration, milliCPU int) { r.Freed[freeingClass(d)] += milliCPU }

// AddOutOfReach adds the processor time of a worker that is out of reach at present.
func (r *Room) AddOutOfReach(milliCPU int) { r.AddFreed(outOfReachReturn, milliCPU) }

// total returns the processor time once all running tasks have ended.
func (r *Room) total() int {
	n := r.Free
	for _, x := range r.Freed {
		n += x
	}
	return n
}

// drain lets the room work from one time to another, and returns when an amount of work was done and what is
// left of it at the end. Other work takes the rate arriving, in thousandths of a core, until ArrivalHorizon; if
// that exceeds the room, the work that is left grows.
func (r *Room) drain(from, until time.Duration, work, arriving float64) (at time.Duration, left float64) {
	if work <= 0 {
		return from, 0
	}
	room := float64(max(r.Free, 0))
	for c := range freeingClasses {
		room += float64(r.Freed[c])
		end := until
		if c+1 < freeingClasses {
			end = min(end, freeingStart(c+1))
		}
		for from < end {
			// Arrivals end within the class.
			to, rate := end, room
			if from < ArrivalHorizon {
				to, rate = min(end, ArrivalHorizon), room-arriving
			}
			length := (to - from).Seconds()
			if rate > 0 && work <= rate*length {
				return from + time.Duration(work/rate*float64(time.Second)), 0
			}
			work -= rate * length
			from = to
		}
	}
	return from, work
}

// AddWaiting adds waiting work with a rank in core-seconds.
func (x *Service) AddWaiting(priority int, bestEffort, late bool, rank, coreSeconds float64) {
	x.waiting(priority, bestEffort, late).Work[rankClass(rank)] += int(coreSeconds * 1000)
}

// AddArriving adds a rate, in cores, at which work with a rank in core-seconds was added lately.
func (x *Service) AddArriving(priority int, bestEffort bool, rank, cores float64) {
	x.waiting(priority, bestEffort, false).Arriving[rankClass(rank)] += int(cores * 1000)
}

// waiting returns the entry of a kind of waiting work and adds it where it is missing.
func (x *Service) waiting(priority int, bestEffort, late bool) *Waiting {
	i := slices.IndexFunc(x.Waiting, func(w Waiting) bool {
		return w.Priority == priority && w.BestEffort == bestEffort && w.Late == late
	})
	if i < 0 {
		x.Waiting = append(x.Waiting, Waiting{Priority: priority, BestEffort: bestEffort, Late: late})
		i = len(x.Waiting) - 1
	}
	return &x.Waiting[i]
}

// AddShare adds waiting work to the share with a name.
func AddShare(shares []Share, name string, priority int, coreSeconds float64) []Share {
	i := slices.IndexFunc(shares, func(s Share) bool { return s.Name == name && s.Priority == priority })
	if i < 0 {
		shares = append(shares, Share{Name: name, Priority: priority})
		i = len(shares) - 1
	}
	shares[i].Work += int(coreSeconds * 1000)
	return shares
}

// LargestShares returns the largest shares, at most as many as a summary holds.
func LargestShares(shares []Share) []Share {
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Name, b.Name)) })
	return shares[:min(len(shares), maxShares)]
}

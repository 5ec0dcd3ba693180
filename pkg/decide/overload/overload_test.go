package overload

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

func init() {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.checks", "300")
}

var (
	testNow = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	urgent  = batch.Queue{Name: "urgent", Service: "s", Stretch: 1.5, Objective: time.Second}
)

// crowded returns the summary of a service whose workers are full, with room for finite work of 10 cores
// that running tasks free within a second, and waiting urgent work of an amount in core-seconds.
func crowded(waiting float64) *Summary {
	s := &Summary{ReceivedAt: testNow}
	x := s.Service("s")
	x.Workers, x.LargestFree = 4, Amounts{MemoryMB: 1000}
	x.LargestRoom, x.LargestCapacity = Amounts{MilliCPU: 4000, MemoryMB: 1000}, Amounts{MilliCPU: 8000, MemoryMB: 1000}
	x.Reserved.AddFreed(time.Second, 10000)
	x.BestEffort.AddFreed(time.Second, 10000)
	if waiting > 0 {
		x.AddWaiting(0, false, false, 1, waiting)
		x.WaitingTasks = 10
	}
	return s
}

func job(id string, steps ...batch.Step) Job {
	return Job{Job: &batch.Job{ID: batch.JobID(id), Queue: "urgent", Steps: steps}}
}

func step(count, milliCPU int) batch.Step {
	return batch.Step{Count: count, Need: batch.Resources{MilliCPU: milliCPU, MemoryMB: 10}, Estimate: time.Second}
}

// A job that waits for room until long after its objective is refused, and one that is somewhat late isn't.
func TestHopelessJobIsRefused(t *testing.T) {
	g := NewWithT(t)
	d := Decide(testNow, crowded(500), urgent, job("a", step(5, 500)))
	g.Expect(d.Refuse).To(BeTrue())
	g.Expect(d.Reason).To(Equal(NoRoomInTime))
	g.Expect(d.Estimate.Start).To(BeNumerically("~", 51*time.Second, time.Second))
	g.Expect(d.RetryAfter).To(Equal(maxRetryAfter))
	late := Decide(testNow, crowded(20), urgent, job("a", step(5, 500)))
	g.Expect(late.Refuse).To(BeFalse())
	g.Expect(late.Estimate.End).To(BeNumerically(">", 2500*time.Millisecond), "past the objective")
}

// Without a fresh summary, without waiting work, with free room, or where the summary doesn't tell, jobs are admitted.
func TestDoubtAdmits(t *testing.T) {
	g := NewWithT(t)
	j := job("a", step(5, 500))
	g.Expect(Decide(testNow, nil, urgent, j).Reason).To(Equal(NoSummary))
	g.Expect(Decide(testNow.Add(2100*time.Millisecond), crowded(500), urgent, j).Reason).To(Equal(NoSummary))
	g.Expect(Decide(testNow, crowded(0), urgent, j).Reason).To(Equal(NothingWaits))
	free := crowded(500)
	free.Service("s").LargestFree.MilliCPU = 500
	g.Expect(Decide(testNow, free, urgent, j).Reason).To(Equal(Fits))
	other := urgent
	other.Service = "unknown"
	g.Expect(Decide(testNow, crowded(500), other, j).Reason).To(Equal(UnknownService))
	noRoom := crowded(500)
	noRoom.Service("s").Reserved = Room{}
	g.Expect(Decide(testNow, noRoom, urgent, j).Reason).To(Equal(Uncertain))
	timed := job("a", step(5, 500))
	timed.Repeat, timed.Start = 3, testNow.Add(time.Minute)
	g.Expect(Decide(testNow, crowded(500), urgent, timed).Reason).To(Equal(DueLater))
	for _, d := range []Decision{Decide(testNow, free, urgent, j), Decide(testNow, noRoom, urgent, j), Decide(testNow, crowded(500), urgent, timed)} {
		g.Expect(d.Refuse).To(BeFalse())
	}
}

// Best-effort work reserves nothing, so that none of it is ahead of a reserved job, while it waits for both.
func TestBestEffortWorkIsNotAheadOfReservedWork(t *testing.T) {
	g := NewWithT(t)
	s := crowded(0)
	x := s.Service("s")
	x.AddWaiting(0, true, false, 1, 500)
	x.WaitingTasks, x.WaitingBestEffort = 10, 10
	g.Expect(Decide(testNow, s, urgent, job("a", step(5, 500))).Reason).To(Equal(NothingWaits))
	fill := step(5, 500)
	fill.BestEffort = true
	g.Expect(Decide(testNow, s, urgent, job("a", fill)).Refuse).To(BeTrue())
	x.LargestSpare = 250
	g.Expect(Decide(testNow, s, urgent, job("a", fill)).Reason).To(Equal(Fits), "it starts with half of its request")
}

// Room that is kept for a long-running task serves only tasks that end before it is needed: a
// job that can't use it isn't taken to fit.
func TestHeldRoom(t *testing.T) {
	g := NewWithT(t)
	s := crowded(500)
	x := s.Service("s")
	x.LargestHeld, x.HeldFor = Amounts{MilliCPU: 4000, MemoryMB: 1000}, 900*time.Millisecond
	j := job("a", step(5, 500))
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeTrue())
	x.HeldFor = time.Second
	g.Expect(Decide(testNow, s, urgent, j).Reason).To(Equal(Fits))
}

// A long-running job is refused only where long-running tasks hold all room that is large enough and others have waited for long.
func TestLongRunningJobWithoutRoomInSight(t *testing.T) {
	g := NewWithT(t)
	serve := func(milliCPU int) Job {
		st := step(3, milliCPU)
		st.LongRunning, st.Estimate = true, 0
		return job("a", st)
	}
	s := crowded(0)
	x := s.Service("s")
	g.Expect(Decide(testNow, s, urgent, serve(4000)).Reason).To(Equal(RoomInSight))
	g.Expect(Decide(testNow, s, urgent, serve(6000)).Reason).To(Equal(Uncertain))
	x.WaitingLongRunning, x.LongRunningWait = 2, time.Second
	g.Expect(Decide(testNow, s, urgent, serve(6000)).Reason).To(Equal(Uncertain))
	x.LongRunningWait = 10 * time.Second
	g.Expect(Decide(testNow, s, urgent, serve(6000)).Refuse).To(BeTrue())
	g.Expect(Decide(testNow, s, urgent, serve(9000)).Reason).To(Equal(NeverPossible), "another worker may join")
}

// The queue and the data centre that cause the overload are refused first.
func TestFloodIsRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	s := crowded(45)
	x := s.Service("s")
	x.Queues = []Share{{Name: "urgent", Work: 45}}
	j := job("a", step(5, 500))
	j.DataCentre = "calm"
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeTrue(), "no other data centre is known")
	x.DataCentres = LargestShares([]Share{{Name: "calm", Work: 1}, {Name: "flood", Work: 9}})
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeFalse())
	j.DataCentre = "flood"
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeTrue())
	x.DataCentres = nil
	x.Queues = LargestShares([]Share{{Name: "urgent", Work: 9}, {Name: "other", Work: 1}})
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeTrue())
	j.Job.Queue = "other"
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeFalse())
	x.Queues[1].Priority = 1
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeTrue(), "work of another priority doesn't count")
}

// Callers return at different times, the most urgent and cheapest first.
func TestRetryAfterFollowsTheForecast(t *testing.T) {
	g := NewWithT(t)
	s := crowded(100)
	s.Service("s").AddWaiting(0, false, false, 30, 60)
	times := map[time.Duration]bool{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		small, large := Decide(testNow, s, urgent, job(id, step(5, 500))), Decide(testNow, s, urgent, job(id, step(100, 500)))
		g.Expect(small.Refuse).To(BeTrue())
		g.Expect(small.RetryAfter).To(BeNumerically(">=", time.Second))
		g.Expect(small.RetryAfter % time.Second).To(BeZero())
		g.Expect(small.RetryAfter).To(BeNumerically("<=", large.RetryAfter))
		times[small.RetryAfter] = true
	}
	g.Expect(len(times)).To(BeNumerically(">", 1))
}

// The longer a refused caller has waited, the earlier is its place.
func TestWaitRaisesThePlace(t *testing.T) {
	g := NewWithT(t)
	s := crowded(0)
	x := s.Service("s")
	x.AddWaiting(0, false, true, 10, 200)
	x.AddWaiting(0, false, false, 10, 100)
	x.WaitingTasks = 10
	j := job("a", step(60, 500))
	first := Decide(testNow, s, urgent, j)
	g.Expect(first.Refuse).To(BeTrue())
	j.Waited = 20 * time.Second
	g.Expect(Decide(testNow, s, urgent, j).Refuse).To(BeFalse())
}

// drawSummary draws a summary of a crowded service.
func drawSummary(t *rapid.T) *Summary {
	s := crowded(0)
	x := s.Service("s")
	for range rapid.IntRange(1, 6).Draw(t, "entries") {
		late := rapid.Bool().Draw(t, "late")
		priority, bestEffort := rapid.IntRange(0, 2).Draw(t, "priority"), rapid.Bool().Draw(t, "best effort")
		rank := rapid.Float64Range(0, 2000).Draw(t, "rank")
		x.AddWaiting(priority, bestEffort, late, rank, rapid.Float64Range(0, 500).Draw(t, "work"))
		if !late {
			x.AddArriving(priority, bestEffort, rank, rapid.Float64Range(0, 30).Draw(t, "cores"))
		}
	}
	x.WaitingTasks = 1
	for range rapid.IntRange(0, 4).Draw(t, "runs") {
		x.Reserved.AddFreed(time.Duration(rapid.IntRange(0, 100000).Draw(t, "left"))*time.Millisecond, rapid.IntRange(0, 20000).Draw(t, "cpu"))
		x.BestEffort.AddFreed(time.Duration(rapid.IntRange(0, 100000).Draw(t, "left"))*time.Millisecond, rapid.IntRange(0, 20000).Draw(t, "cpu"))
	}
	return s
}

// drawJob draws a job of up to three steps in a chain.
func drawJob(t *rapid.T) (batch.Queue, Job) {
	var steps []batch.Step
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		st := step(rapid.IntRange(1, 100).Draw(t, "count"), rapid.IntRange(1, 5000).Draw(t, "cpu"))
		st.Estimate = time.Duration(rapid.IntRange(1, 10000).Draw(t, "duration")) * time.Millisecond
		st.BestEffort = rapid.Bool().Draw(t, "best effort")
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		steps = append(steps, st)
	}
	q := urgent
	q.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	j := job("a", steps...)
	j.Waited = time.Duration(rapid.IntRange(0, 20000).Draw(t, "waited")) * time.Millisecond
	return q, j
}

// Nothing is refused while a task of it fits a worker, and nothing while nothing waits.
func TestNothingIsRefusedWhileItFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSummary(t)
		q, j := drawJob(t)
		x := s.Service("s")
		st := rapid.SampledFrom(j.Steps).Draw(t, "fitting")
		if st.BestEffort {
			x.LargestSpare = st.Need.MilliCPU
		}
		x.LargestFree.Raise(st.Need)
		if d := Decide(testNow, s, q, j); d.Refuse {
			t.Fatalf("refused: %+v", d)
		}
		x.LargestFree, x.LargestSpare, x.WaitingTasks = Amounts{}, 0, 0
		if d := Decide(testNow, s, q, j); d.Refuse {
			t.Fatalf("refused though nothing waits: %+v", d)
		}
	})
}

// The estimate grows with the work that waits ahead, and work that isn't ahead changes nothing.
func TestEstimateGrowsWithWorkAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSummary(t)
		q, j := drawJob(t)
		j.Queue = q
		x := s.Service("s")
		before := s.Estimate(j)
		x.AddWaiting(q.Priority+1, false, false, 0, 100)
		if e := s.Estimate(j); e != before {
			t.Fatalf("less urgent work changes %+v to %+v", before, e)
		}
		x.AddWaiting(rapid.IntRange(0, q.Priority).Draw(t, "priority ahead"), rapid.Bool().Draw(t, "best effort ahead"), rapid.Bool().Draw(t, "late ahead"),
			rapid.Float64Range(0, 2000).Draw(t, "rank ahead"), rapid.Float64Range(0, 500).Draw(t, "work ahead"))
		e := s.Estimate(j)
		if e.Certain && before.Certain && (e.Start < before.Start || e.End < before.End) {
			t.Fatalf("more work ahead changes %+v to %+v", before, e)
		}
		if e.Certain && (e.End < e.Start || e.Start < 0 || e.Wait() < 0) {
			t.Fatalf("estimate %+v", e)
		}
	})
}

// A summary takes a few hundred bytes of each pong, and is the same after it.
func TestSummaryIsSmall(t *testing.T) {
	g := NewWithT(t)
	s := crowded(0)
	x := s.Service("s")
	for _, priority := range []int{0, 2} {
		for _, late := range []bool{false, true} {
			for c := range rankClasses {
				x.AddWaiting(priority, priority == 2, late, float64(int(1)<<c), 100)
				if !late {
					x.AddArriving(priority, priority == 2, float64(int(1)<<c), 20)
				}
			}
		}
	}
	for _, name := range []string{"r-3a5b2ci", "r-riruttd", "r-vungtau"} {
		x.Queues = AddShare(x.Queues, name, 0, 200)
		x.DataCentres = AddShare(x.DataCentres, name, 0, 200)
	}
	b, err := codec.Encode(*s)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d bytes", len(b))
	g.Expect(len(b)).To(BeNumerically("<", 800))
	back, err := codec.Decode[Summary](b)
	g.Expect(err).NotTo(HaveOccurred())
	back.ReceivedAt = s.ReceivedAt
	g.Expect(&back).To(Equal(s))
}

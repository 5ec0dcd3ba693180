package host

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The length and the limits of the simulation.
const (
	simulatedSeconds = 800
	settlingSeconds  = 300
	// maxDirectionChanges bounds the changes of direction of an estimated need after settling.
	maxDirectionChanges = 6
	// maxNeedChanges bounds all changes of an estimated need after settling.
	maxNeedChanges = 8
)

// simulatedAttempt is a running attempt with its true usage, which reports show with
// a delay.
type simulatedAttempt struct {
	key       Key
	kind      int
	remaining int
	usages    []fleet.Resources
}

// TestEstimatedNeeds runs kinds whose declared needs are wrong by up to a factor of 4,
// and checks that, after settling, their true usage fits the host and that the
// estimates do not oscillate.
func TestEstimatedNeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(7, rapid.Uint64().Draw(t, "seed")))
		lag := 1 + r.IntN(10)
		length := 20 << r.IntN(8)
		total := fleet.Resources{Processors: 16000, Memory: 60_000, Slots: 8}
		var truth, declared [3]fleet.Resources
		for i := range truth {
			truth[i] = fleet.Resources{Processors: fleet.MilliProcessors(500 + r.IntN(4000)), Memory: fleet.Bytes(1000 + r.IntN(15_000))}
			factor := math.Exp2(float64(r.IntN(5) - 2)) // 1/4, 1/2, 1, 2 or 4.
			declared[i] = fleet.Resources{Processors: fleet.MilliProcessors(float64(truth[i].Processors) * factor), Memory: fleet.Bytes(float64(truth[i].Memory) * factor)}
		}
		m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: time.Hour}
		now := time.Unix(1e6, 0)
		var running []*simulatedAttempt
		next, overcommitted := 0, 0
		var last, direction [3]fleet.MilliProcessors
		var directionChanges, changes [3]int
		var handle func(a []Action)
		step := func(e Event) { handle(m.Step(now, e, nil)) }
		handle = func(as []Action) {
			for _, a := range as {
				switch a := a.(type) {
				case AnswerOwner:
					switch a.Answer.Kind {
					case task.Reserved:
						step(Order{Shard: 1, Action: task.GrantLease{RequestedAt: a.Answer.SentAt, Duration: time.Hour, Attempts: []task.HeldAttempt{{Task: a.Answer.Task, Attempt: 1}}}})
					case task.Refused, task.Evicted, task.Stopped, task.EndedOK:
						step(Order{Shard: 1, Action: task.Ack{Task: a.Answer.Task, Attempt: 1}})
					}
				case Command:
					if a.Verb == StartAttempt {
						running = append(running, &simulatedAttempt{key: a.Key, kind: int(a.Spec.Kind[0] - 'a'), remaining: 20 + r.IntN(length)})
					}
					for i, x := range running {
						if a.Verb == StopAttempt && x.key == a.Key {
							running = append(running[:i:i], running[i+1:]...)
							break
						}
					}
					step(CommandResult{Command: a, Result: CarriedOut})
				}
			}
		}
		for s := range simulatedSeconds {
			now = now.Add(time.Second)
			seen := WorkerAnnouncement{Worker: 1, Sequence: uint64(s), BoundAgent: 1, Total: total}
			var sum fleet.Resources
			for _, x := range running {
				u := truth[x.kind]
				u.Processors = fleet.MilliProcessors(float64(u.Processors) * (0.4 + 0.6*r.Float64()))
				u.Memory = fleet.Bytes(float64(u.Memory) * (0.9 + 0.1*r.Float64()))
				sum = sum.Plus(u)
				x.usages = append(x.usages, u)
				x.remaining--
				p := Report{Key: x.key, State: Running, Usage: x.usages[max(len(x.usages)-1-lag, 0)]}
				if len(x.usages) <= lag {
					p.Usage = fleet.Resources{}
				}
				if x.remaining == 0 {
					p.State = Done
				}
				seen.Reports = append(seen.Reports, p)
			}
			n := running[:0:0]
			for _, x := range running {
				if x.remaining > 0 {
					n = append(n, x)
				}
			}
			running = n
			if !sum.Fits(total) && s > settlingSeconds {
				overcommitted++
			}
			if !m.reserved.Fits(total) {
				t.Fatalf("reservations exceed the host: %+v", m.reserved)
			}
			step(seen)
			step(Tick{})
			k := r.IntN(3)
			step(Order{Shard: 1, Action: task.Start{Agent: m.Agent, Worker: 1, Task: taskID(next), Attempt: 1, Spec: &task.Spec{Kind: fleet.Kind('a' + rune(k)), Need: declared[k]}}})
			next++
			for i := range last {
				d := m.estimator.Need(fleet.Kind('a'+rune(i)), declared[i], total).Processors - last[i]
				last[i] += d
				if d == 0 {
					continue
				}
				if s > settlingSeconds && (d > 0) != (direction[i] > 0) {
					directionChanges[i]++
				}
				direction[i] = d
				if s > settlingSeconds {
					changes[i]++
				}
			}
		}
		if overcommitted > 0 || max(directionChanges[0], directionChanges[1], directionChanges[2]) > maxDirectionChanges || max(changes[0], changes[1], changes[2]) > maxNeedChanges {
			t.Fatalf("usage exceeded the host for %d s after settling; changes of direction %v, changes %v", overcommitted, directionChanges, changes)
		}
	})
}

// TestAccurateNeedsAreNotEvicted fills a host with attempts that use exactly what they
// declared, and checks that none is evicted. When their processor usage doubles, none
// is evicted before processorShortfallLimit.
func TestAccurateNeedsAreNotEvicted(t *testing.T) {
	m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: time.Hour}
	now := time.Unix(1e6, 0)
	one := fleet.Resources{Processors: 2000, Memory: 1000, Slots: 1}
	seen := WorkerAnnouncement{Worker: 1, BoundAgent: 1}
	for i := range 8 {
		seen.Total = seen.Total.Plus(one)
		seen.Reports = append(seen.Reports, Report{Key: Key{Shard: 1, Task: taskID(i), Attempt: 1}, State: Running, Need: one, Usage: one})
	}
	for range 120 {
		now = now.Add(time.Second)
		for _, a := range m.Step(now, seen, nil) {
			if c, ok := a.(Command); ok {
				t.Fatalf("an attempt within its declared need received a command: %+v", c)
			}
		}
	}
	m = &Machine{Agent: m.Agent, Lease: time.Hour}
	first := now
	for i := range seen.Reports {
		seen.Reports[i].Usage.Processors *= 2
	}
	for now.Sub(first) < processorShortfallLimit-time.Second {
		now = now.Add(time.Second)
		for _, a := range m.Step(now, seen, nil) {
			if _, ok := a.(Command); ok {
				t.Fatal("an attempt was evicted for processors before the shortfall limit")
			}
		}
	}
}

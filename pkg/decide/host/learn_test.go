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

// The times of the trial.
const (
	trialLength = 800
	settledFrom = 300
	// maxTurns bounds how often a reservation changes its direction after settling.
	maxTurns = 6
	// maxChanges bounds how often it changes at all.
	maxChanges = 8
)

// A tenant is a running attempt whose use the recorder knows; reports lag behind.
type tenant struct {
	key  Key
	kind int
	left int
	past []fleet.Resources
}

// TestEstimatedNeeds runs kinds whose declared sizes are far off, and checks that
// their true use stays within the host without oscillation.
func TestEstimatedNeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(7, rapid.Uint64().Draw(t, "seed")))
		lag := 1 + r.IntN(10)
		length := 20 << r.IntN(8)
		total := fleet.Resources{Processors: 16000, Memory: 60_000, Slots: 8}
		var truth, declared [3]fleet.Resources
		for i := range truth {
			truth[i] = fleet.Resources{Processors: fleet.MilliProcessors(500 + r.IntN(4000)), Memory: fleet.Bytes(1000 + r.IntN(15_000))}
			off := math.Exp2(float64(r.IntN(5) - 2)) // 1/4 to 4, 1 among them
			declared[i] = fleet.Resources{Processors: fleet.MilliProcessors(float64(truth[i].Processors) * off), Memory: fleet.Bytes(float64(truth[i].Memory) * off)}
		}
		m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: time.Hour}
		now := time.Unix(1e6, 0)
		var running []*tenant
		next, over := 0, 0
		var last, direction [3]fleet.MilliProcessors
		var turns, changes [3]int
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
						running = append(running, &tenant{key: a.Key, kind: int(a.Spec.Kind[0] - 'a'), left: 20 + r.IntN(length)})
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
		for s := range trialLength {
			now = now.Add(time.Second)
			seen := WorkerAnnouncement{Worker: 1, Sequence: uint64(s), BoundAgent: 1, Total: total}
			var sum fleet.Resources
			for _, x := range running {
				u := truth[x.kind]
				u.Processors = fleet.MilliProcessors(float64(u.Processors) * (0.4 + 0.6*r.Float64()))
				u.Memory = fleet.Bytes(float64(u.Memory) * (0.9 + 0.1*r.Float64()))
				sum = sum.Plus(u)
				x.past = append(x.past, u)
				x.left--
				p := Report{Key: x.key, State: Running, Usage: x.past[max(len(x.past)-1-lag, 0)]}
				if len(x.past) <= lag {
					p.Usage = fleet.Resources{}
				}
				if x.left == 0 {
					p.State = Done
				}
				seen.Reports = append(seen.Reports, p)
			}
			n := running[:0:0]
			for _, x := range running {
				if x.left > 0 {
					n = append(n, x)
				}
			}
			running = n
			if !sum.Fits(total) && s > settledFrom {
				over++
			}
			if !m.reserved.Fits(total) {
				t.Fatalf("reserved %+v", m.reserved)
			}
			step(seen)
			step(Tick{})
			k := r.IntN(3)
			step(Order{Shard: 1, Action: task.Start{Agent: m.Agent, Worker: 1, Task: id(next), Attempt: 1, Spec: &task.Spec{Kind: fleet.Kind('a' + rune(k)), Need: declared[k]}}})
			next++
			for i := range last {
				d := m.learner.Need(fleet.Kind('a'+rune(i)), declared[i], total).Processors - last[i]
				last[i] += d
				if d == 0 {
					continue
				}
				if s > settledFrom && (d > 0) != (direction[i] > 0) {
					turns[i]++
				}
				direction[i] = d
				if s > settledFrom {
					changes[i]++
				}
			}
		}
		if over > 0 || max(turns[0], turns[1], turns[2]) > maxTurns || max(changes[0], changes[1], changes[2]) > maxChanges {
			t.Fatalf("over the host for %d s after settling, turns %v, changes %v", over, turns, changes)
		}
	})
}

// TestAccurateNeedsAreNotEvicted fills a host with attempts that use just what they declared.
func TestAccurateNeedsAreNotEvicted(t *testing.T) {
	m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: time.Hour}
	now := time.Unix(1e6, 0)
	one := fleet.Resources{Processors: 2000, Memory: 1000, Slots: 1}
	seen := WorkerAnnouncement{Worker: 1, BoundAgent: 1}
	for i := range 8 {
		seen.Total = seen.Total.Plus(one)
		seen.Reports = append(seen.Reports, Report{Key: Key{Shard: 1, Task: id(i), Attempt: 1}, State: Running, Need: one, Usage: one})
	}
	for range 120 {
		now = now.Add(time.Second)
		for _, a := range m.Step(now, seen, nil) {
			if c, ok := a.(Command); ok {
				t.Fatalf("an attempt within its size is commanded: %+v", c)
			}
		}
	}
	m = &Machine{Agent: m.Agent, Lease: time.Hour}
	first := now
	for i := range seen.Reports {
		seen.Reports[i].Usage.Processors *= 2
	}
	for now.Sub(first) < processorsShortFor-time.Second {
		now = now.Add(time.Second)
		for _, a := range m.Step(now, seen, nil) {
			if _, ok := a.(Command); ok {
				t.Fatal("an attempt is evicted for processors at once")
			}
		}
	}
}

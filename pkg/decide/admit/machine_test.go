package admit

import (
	"flag"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

var kinds = []fleet.Kind{"gust", "alert", "certificate", "dossier"}

// A model tracks the state of each request and checks the actions of the controller.
type model struct {
	*rapid.T
	c        *controller
	now      time.Time
	lastID   RequestID
	states   map[RequestID]string
	requests map[RequestID]Request
	capacity int
	// tickSkipped reports whether time has passed without a Tick.
	tickSkipped bool
}

// applyActions checks the actions and records the new states of their requests.
func (l *model) applyActions(out []Action) {
	for _, a := range out {
		if l.states[a.RequestID] != "queued" {
			l.Fatalf("action %v for a request in state %q", a, l.states[a.RequestID])
		}
		l.states[a.RequestID] = "refused"
		if a.Decision != Start {
			continue
		}
		r := l.requests[a.RequestID]
		l.states[a.RequestID] = "running"
		if !l.now.Before(r.Deadline) {
			l.Fatalf("request %d started at or after its deadline", a.RequestID)
		}
		if n := l.count("running", ""); n > l.capacity {
			l.Fatalf("%d requests running on %d connections", n, l.capacity)
		}
		if q := l.c.kinds[r.Kind]; l.count("running", r.Kind) > q.Ceiling {
			l.Fatalf("%s exceeds its ceiling of %d", r.Kind, q.Ceiling)
		}
		for id, o := range l.requests {
			if l.states[id] == "queued" && o.Kind == r.Kind && o.Deadline.Before(r.Deadline) {
				l.Fatalf("request %d started before request %d, which has an earlier deadline", a.RequestID, id)
			}
		}
	}
}

// count returns the number of requests of k, or of all kinds if k is empty, in the given state.
func (l *model) count(state string, k fleet.Kind) (n int) {
	for id, s := range l.states {
		if s == state && (k == "" || l.requests[id].Kind == k) {
			n++
		}
	}
	return n
}

func (l *model) headroom(k fleet.Kind) int {
	for _, o := range l.c.Load(l.now, nil) {
		if o.Kind == k {
			return o.Headroom
		}
	}
	return 0
}

// drawRequest draws a request in the given state, or returns 0.
func (l *model) drawRequest(state string) RequestID {
	for id := RequestID(1); id <= l.lastID; id++ {
		if l.states[id] == state && rapid.IntRange(0, 3).Draw(l.T, "skip") == 0 {
			return id
		}
	}
	return 0
}

// checkInvariants checks the invariants that hold between any two calls.
func (l *model) checkInvariants(*rapid.T) {
	queued, floors := 0, 0
	for _, q := range l.c.queues {
		floors += q.Floor
		queued += q.Queued()
		if q.Ready() && l.c.inFlight < l.c.limit {
			l.Fatalf("a permit is free while a request of %s is queued", q.Row.Kind)
		}
		if q.InFlight != l.count("running", q.Row.Kind) || q.Queued() != l.count("queued", q.Row.Kind) {
			l.Fatalf("wrong number of running or queued requests of %s", q.Row.Kind)
		}
		if q.inTable && q.Row.Floor > 0 && q.Row.Ceiling > 0 && l.c.limit > 0 && q.Floor == 0 {
			l.Fatalf("the floor of %s has no permit", q.Row.Kind)
		}
	}
	if l.c.limit >= len(kinds) && floors > l.c.limit {
		l.Fatalf("the floors add up to %d permits with a limit of %d", floors, l.c.limit)
	}
	if queued != l.count("queued", "") || len(l.c.requests) != queued+l.c.inFlight {
		l.Fatalf("the tracked requests are not those that are queued or running")
	}
	if l.c.draining && queued > 0 {
		l.Fatalf("%d requests queued while draining", queued)
	}
}

// floorCheckingPolicy checks that no kind at or above its floor is selected before a ready kind
// under its floor.
type floorCheckingPolicy struct {
	Fair
	fail func(string, ...any)
}

func (s *floorCheckingPolicy) Pick(queues []*Queue, limit int) *Queue {
	return s.check(queues, s.Fair.Pick(queues, limit))
}

func (s *floorCheckingPolicy) Recall(queues []*Queue) *Queue {
	return s.check(queues, s.Fair.Recall(queues))
}

func (s *floorCheckingPolicy) check(queues []*Queue, b *Queue) *Queue {
	for _, q := range queues {
		if b != nil && q.Ready() && q.InFlight < q.Floor && b.InFlight >= b.Floor {
			s.fail("%s above its floor goes before %s below", b.Row.Kind, q.Row.Kind)
		}
	}
	return b
}

func drawRows(t *rapid.T) []table.Row {
	var rows []table.Row
	for _, k := range kinds {
		if rapid.IntRange(0, 5).Draw(t, "absent") == 0 {
			continue
		}
		floor := rapid.Float64Range(0, 0.4).Draw(t, "floor")
		maxCeiling := 1.0
		if rapid.IntRange(0, 3).Draw(t, "small") == 0 {
			floor, maxCeiling = floor/10, 0.1
		}
		rows = append(rows, table.Row{
			Kind: k, Class: table.ClassRequest, Weight: rapid.Float64Range(0, 4).Draw(t, "weight"),
			Floor: table.Share(floor), Ceiling: table.Share(rapid.Float64Range(floor, maxCeiling).Draw(t, "ceiling")),
			Urgent: rapid.Bool().Draw(t, "urgent"),
		})
	}
	return rows
}

func TestInvariantsHoldUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewWith(&floorCheckingPolicy{fail: t.Fatalf}, Gradient{}).(*controller)
		l := &model{T: t, c: c, now: time.Unix(0, 0), states: map[RequestID]string{}, requests: map[RequestID]Request{}, capacity: 12}
		l.applyActions(c.SetTable(l.now, drawRows(t), nil))
		l.applyActions(c.SetCapacity(l.now, l.capacity, nil))
		offer := func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "burst") {
				l.lastID++
				d := time.Duration(rapid.IntRange(-5, 400).Draw(t, "deadline")) * time.Millisecond
				l.requests[l.lastID] = Request{l.lastID, rapid.SampledFrom(kinds).Draw(t, "kind"), l.now.Add(d)}
				l.states[l.lastID] = "queued"
				free := l.headroom(l.requests[l.lastID].Kind)
				l.applyActions(c.Offer(l.now, l.requests[l.lastID], nil))
				q, started := c.kinds[l.requests[l.lastID].Kind], l.states[l.lastID] == "running"
				if !l.tickSkipped && (free > 0 && !started && d > 300*time.Millisecond || free == 0 && started && q.InFlight <= q.Floor) {
					t.Fatalf("headroom was %d, request started: %v", free, started)
				}
			}
			if k := l.drawRequest("queued"); k != 0 && len(c.Offer(l.now, l.requests[k], nil)) > 0 {
				t.Fatalf("a request ID in use was accepted again")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       l.checkInvariants,
			"offer":  offer,
			"offer2": offer,
			"done": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "answers") {
					k := l.drawRequest("running")
					if k == 0 {
						return
					}
					l.states[k] = "done"
					d := time.Duration(rapid.IntRange(0, 90).Draw(t, "latency")) * time.Millisecond
					l.applyActions(c.Done(l.now, k, d, rapid.Bool().Draw(t, "ok"), nil))
				}
			},
			"cancel": func(t *rapid.T) {
				if k := l.drawRequest(rapid.SampledFrom([]string{"queued", "running"}).Draw(t, "state")); k != 0 {
					l.states[k] = "cancelled"
					l.applyActions(c.Cancel(l.now, k, nil))
				}
			},
			"time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
				if l.tickSkipped = rapid.Bool().Draw(t, "timer is late"); l.tickSkipped {
					return
				}
				l.applyActions(c.Tick(l.now, nil))
				if w, ok := c.Wake(); ok && !w.After(l.now) {
					t.Fatalf("Wake returned a time that is not after the Tick")
				}
			},
			"table": func(t *rapid.T) { l.applyActions(c.SetTable(l.now, drawRows(t), nil)) },
			"capacity": func(t *rapid.T) {
				l.capacity = rapid.IntRange(0, 24).Draw(t, "connections")
				l.applyActions(c.SetCapacity(l.now, l.capacity, nil))
			},
			"shares": func(t *rapid.T) {
				s := ShareFactor{rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.Float64Range(0.2, 3).Draw(t, "factor")}
				l.applyActions(c.SetShareFactors(l.now, []ShareFactor{s}, nil))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 40).Draw(t, "leave") == 0 {
					l.applyActions(c.Drain(l.now, nil))
				}
			},
		})
	})
}

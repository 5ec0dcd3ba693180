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

// A ledger is the model of what the admitter promised.
type ledger struct {
	*rapid.T
	c        *controller
	now      time.Time
	next     RequestID
	state    map[RequestID]string
	request  map[RequestID]Request
	capacity int
	// late reports whether time passed without a tick.
	late bool
}

func (l *ledger) check(out []Action) {
	for _, a := range out {
		if l.state[a.RequestID] != "queued" {
			l.Fatalf("verdict %v on a ticket that is %q", a, l.state[a.RequestID])
		}
		l.state[a.RequestID] = "refused"
		if a.Decision != Start {
			continue
		}
		r := l.request[a.RequestID]
		l.state[a.RequestID] = "running"
		if !l.now.Before(r.Deadline) {
			l.Fatalf("start of %d at its deadline or later", a.RequestID)
		}
		if n := l.count("running", ""); n > l.capacity {
			l.Fatalf("%d run on %d connections", n, l.capacity)
		}
		if q := l.c.kinds[r.Kind]; l.count("running", r.Kind) > q.Ceiling {
			l.Fatalf("%s above its ceiling of %d", r.Kind, q.Ceiling)
		}
		for t, o := range l.request {
			if l.state[t] == "queued" && o.Kind == r.Kind && o.Deadline.Before(r.Deadline) {
				l.Fatalf("%d with a later deadline started before %d", a.RequestID, t)
			}
		}
	}
}

func (l *ledger) count(state string, k fleet.Kind) (n int) {
	for t, s := range l.state {
		if s == state && (k == "" || l.request[t].Kind == k) {
			n++
		}
	}
	return n
}

func (l *ledger) headroom(k fleet.Kind) int {
	for _, o := range l.c.Load(l.now, nil) {
		if o.Kind == k {
			return o.Headroom
		}
	}
	return 0
}

func (l *ledger) pick(state string) RequestID {
	for t := RequestID(1); t <= l.next; t++ {
		if l.state[t] == state && rapid.IntRange(0, 3).Draw(l.T, "skip") == 0 {
			return t
		}
	}
	return 0
}

// after checks what must hold between any two commands.
func (l *ledger) after(*rapid.T) {
	queued, floors := 0, 0
	for _, q := range l.c.queues {
		floors += q.Floor
		queued += q.Queued()
		if q.Ready() && l.c.inFlight < l.c.limit {
			l.Fatalf("a permit is idle while %s waits", q.Row.Kind)
		}
		if q.InFlight != l.count("running", q.Row.Kind) || q.Queued() != l.count("queued", q.Row.Kind) {
			l.Fatalf("%s is miscounted", q.Row.Kind)
		}
		if q.listed && q.Row.Floor > 0 && q.Row.Ceiling > 0 && l.c.limit > 0 && q.Floor == 0 {
			l.Fatalf("%s has no permit for its floor", q.Row.Kind)
		}
	}
	if l.c.limit >= len(kinds) && floors > l.c.limit {
		l.Fatalf("floors of %d in a limit of %d", floors, l.c.limit)
	}
	if queued != l.count("queued", "") || len(l.c.tickets) != queued+l.c.inFlight {
		l.Fatalf("tickets were lost or kept")
	}
	if l.c.draining && queued > 0 {
		l.Fatalf("%d wait while draining", queued)
	}
}

// spyPolicy checks each pick against the floors.
type spyPolicy struct {
	Fair
	fail func(string, ...any)
}

func (s *spyPolicy) Pick(queues []*Queue, limit int) *Queue {
	return s.check(queues, s.Fair.Pick(queues, limit))
}

func (s *spyPolicy) Recall(queues []*Queue) *Queue {
	return s.check(queues, s.Fair.Recall(queues))
}

func (s *spyPolicy) check(queues []*Queue, b *Queue) *Queue {
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
		most := 1.0
		if rapid.IntRange(0, 3).Draw(t, "small") == 0 {
			floor, most = floor/10, 0.1
		}
		rows = append(rows, table.Row{
			Kind: k, Class: table.ClassRequest, Weight: rapid.Float64Range(0, 4).Draw(t, "weight"),
			Floor: table.Share(floor), Ceiling: table.Share(rapid.Float64Range(floor, most).Draw(t, "ceiling")),
			Urgent: rapid.Bool().Draw(t, "urgent"),
		})
	}
	return rows
}

func TestInvariantsHoldUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewWith(&spyPolicy{fail: t.Fatalf}, Gradient{}).(*controller)
		l := &ledger{T: t, c: c, now: time.Unix(0, 0), state: map[RequestID]string{}, request: map[RequestID]Request{}, capacity: 12}
		l.check(c.SetTable(l.now, drawRows(t), nil))
		l.check(c.SetCapacity(l.now, l.capacity, nil))
		offer := func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "burst") {
				l.next++
				d := time.Duration(rapid.IntRange(-5, 400).Draw(t, "deadline")) * time.Millisecond
				l.request[l.next] = Request{l.next, rapid.SampledFrom(kinds).Draw(t, "kind"), l.now.Add(d)}
				l.state[l.next] = "queued"
				free := l.headroom(l.request[l.next].Kind)
				l.check(c.Offer(l.now, l.request[l.next], nil))
				q, started := c.kinds[l.request[l.next].Kind], l.state[l.next] == "running"
				if !l.late && (free > 0 && !started && d > 300*time.Millisecond || free == 0 && started && q.InFlight <= q.Floor) {
					t.Fatalf("headroom of %d, started %v", free, started)
				}
			}
			if k := l.pick("queued"); k != 0 && len(c.Offer(l.now, l.request[k], nil)) > 0 {
				t.Fatalf("a ticket counts twice")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       l.after,
			"offer":  offer,
			"offer2": offer,
			"done": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "answers") {
					k := l.pick("running")
					if k == 0 {
						return
					}
					l.state[k] = "done"
					d := time.Duration(rapid.IntRange(0, 90).Draw(t, "latency")) * time.Millisecond
					l.check(c.Done(l.now, k, d, rapid.Bool().Draw(t, "ok"), nil))
				}
			},
			"cancel": func(t *rapid.T) {
				if k := l.pick(rapid.SampledFrom([]string{"queued", "running"}).Draw(t, "state")); k != 0 {
					l.state[k] = "cancelled"
					l.check(c.Cancel(l.now, k, nil))
				}
			},
			"time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
				if l.late = rapid.Bool().Draw(t, "timer is late"); l.late {
					return
				}
				l.check(c.Tick(l.now, nil))
				if w, ok := c.Wake(); ok && !w.After(l.now) {
					t.Fatalf("tick left work behind")
				}
			},
			"table": func(t *rapid.T) { l.check(c.SetTable(l.now, drawRows(t), nil)) },
			"capacity": func(t *rapid.T) {
				l.capacity = rapid.IntRange(0, 24).Draw(t, "connections")
				l.check(c.SetCapacity(l.now, l.capacity, nil))
			},
			"shares": func(t *rapid.T) {
				s := ShareFactor{rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.Float64Range(0.2, 3).Draw(t, "factor")}
				l.check(c.SetShareFactors(l.now, []ShareFactor{s}, nil))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 40).Draw(t, "leave") == 0 {
					l.check(c.Drain(l.now, nil))
				}
			},
		})
	})
}

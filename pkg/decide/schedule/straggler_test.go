package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// factory plays workers of which one works at a speed of its own from a time on.
type factory struct {
	*bench
	odd   string
	from  time.Duration
	speed float64
	// whole is how long a task takes at full speed.
	whole time.Duration
	runs  map[batch.Task]*made
	stops int
}

type made struct {
	Start
	done float64
	left time.Duration
}

// play schedules and works for d, and returns when all work was done.
func (f *factory) play(d time.Duration) time.Duration {
	f.runs = map[batch.Task]*made{}
	const step = 50 * time.Millisecond
	last := time.Duration(0)
	for at := time.Duration(0); at < d; at += step {
		o := f.after(step)
		for _, s := range o.Starts {
			f.there(s)
			f.runs[s.Task] = &made{Start: s, left: -1}
			last = at
		}
		for _, s := range o.Stops {
			f.stops++
			f.runs[s.Task].left = 400 * time.Millisecond
		}
		rows := map[batch.WorkerKey][]batch.Run{}
		for t, r := range f.runs {
			speed := 1.0
			if r.Key.ID == f.odd && at >= f.from {
				speed = f.speed
			}
			if r.done += speed * step.Seconds() / f.whole.Seconds(); r.done >= 1 {
				f.end(r.Start, batch.Done)
				delete(f.runs, t)
				last = at
				continue
			}
			if r.left >= 0 {
				if r.left -= step; r.left < 0 {
					f.end(r.Start, batch.Stopped)
					delete(f.runs, t)
				}
			}
			rows[r.Key] = append(rows[r.Key], batch.Run{Task: t, Number: r.Number, ProgressPercent: int(100 * r.done), Pace: 100})
		}
		if at%batch.LoadWindow == 0 {
			for k, rs := range rows {
				f.HandleProgress(f.now, k, rs, false)
			}
		}
	}
	return last
}

func newFactory(workers int) *factory {
	var ws []batch.Worker
	for i := range workers {
		ws = append(ws, aWorker(fmt.Sprint("w", i), 8000))
	}
	return &factory{bench: newBench(ws...), odd: "w0", whole: time.Second}
}

// One of eight workers turns slow or leaves its tasks standing still: a wide
// step ends about when it would without, where it waited for the slowest task.
func TestStragglersAreStartedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		speed  float64
		within time.Duration
	}{
		"none":         {1, 2 * time.Second},
		"six times":    {1.0 / 6, 4 * time.Second},
		"stands still": {0, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFactory(8)
			f.speed, f.from = c.speed, 200*time.Millisecond
			f.Add(f.now, aJob("j", "urgent", aStep(16, 1000)), nil, false)
			g.Expect(f.play(20 * time.Second)).To(BeNumerically("<", c.within))
			p, _ := f.Progress("j")
			g.Expect(p.State).To(Equal(batch.Completed))
			if c.speed == 1 {
				g.Expect(f.stops).To(BeZero())
			}
		})
	}
}

// A worker that held work up is given no more of it for a while.
func TestSlowWorkerIsSetAside(t *testing.T) {
	g := NewWithT(t)
	f := newFactory(8)
	f.speed = 1.0 / 6
	f.Add(f.now, aJob("j", "urgent", aStep(16, 1000)), nil, false)
	f.play(2 * time.Second)
	f.Add(f.now, aJob("next", "urgent", aStep(16, 1000)), nil, false)
	for _, s := range f.after(0).Starts {
		g.Expect(s.Key.ID).NotTo(Equal(f.odd))
	}
}

// Work that takes many times what was declared is left alone, as all of it does.
func TestWrongEstimatesAreNoStragglers(t *testing.T) {
	g := NewWithT(t)
	f := newFactory(4)
	f.speed, f.whole = 1, 15*time.Second
	f.Add(f.now, aJob("j", "urgent", aStep(6, 1000)), nil, false)
	g.Expect(f.play(20 * time.Second)).To(BeNumerically("<", 16*time.Second))
	g.Expect(f.stops).To(BeZero())
}

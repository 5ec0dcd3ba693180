package main

import (
	"fmt"
	"sync"
	"time"
)

// seenRun is a run of a task, as its worker saw it.
type seenRun struct {
	worker *worker
	number int
	from   time.Time
	// to is when the run ended, how in which way; zero while it runs.
	to  time.Time
	how string
	// seen is set once the end is taken note of.
	seen bool
}

// checks judges what the workers see by the rules.
type checks struct {
	rec *recorder

	mu     sync.Mutex
	runs   map[string][]*seenRun
	failed map[string]int
	first  string
}

// fail records that a rule is broken.
func (c *checks) fail(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(rule, format, args...)
}

func (c *checks) failLocked(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c.failed[rule]++; c.failed[rule] <= 20 {
		c.rec.add("rule", "%s is broken: %s", rule, text)
	}
	if c.first == "" {
		c.first = rule + ": " + text
	}
}

// broken returns how often rules were broken, and the first time.
func (c *checks) broken() (map[string]int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed, c.first
}

// runStarted notes a start. Two runs of a task at the same time break TWICE.
func (c *checks) runStarted(w *worker, name string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.add(w.id, "starts %s run %d", name, number)
	for _, x := range c.runs[name] {
		if x.to.IsZero() {
			c.failLocked("TWICE", "%s run %d starts on %s (born %d) while run %d is at work on %s (born %d)",
				name, number, w.id, w.born, x.number, x.worker.id, x.worker.born)
		}
	}
	c.runs[name] = append(c.runs[name], &seenRun{worker: w, number: number, from: time.Now()})
}

// runEnded notes an end.
func (c *checks) runEnded(w *worker, name string, number int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.add(w.id, "ends %s run %d %s", name, number, how)
	for _, x := range c.runs[name] {
		if x.worker == w && x.number == number && x.to.IsZero() {
			x.to, x.how = time.Now(), how
		}
	}
}

// endSeen notes that an end was taken note of, which doesn't count if the worker's lease lapsed after the end.
func (c *checks) endSeen(w *worker, name string, number int, lapsed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.runs[name] {
		if x.worker == w && x.number == number && !lapsed.After(x.to) {
			x.seen = true
		}
	}
}

// startsAfterDone finds the starts after a run of the same task had ended done, where that end
// was taken note of then or later, which break TWICE.
func (c *checks) startsAfterDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, runs := range c.runs {
		for _, done := range runs {
			if done.how != "done" || !done.seen {
				continue
			}
			for _, x := range runs {
				if x.from.After(done.to) {
					c.failLocked("TWICE", "%s run %d starts on %s %d ms after run %d ended done there",
						name, x.number, x.worker.id, x.from.Sub(done.to).Milliseconds(), done.number)
				}
			}
		}
	}
}

// runsOf returns the runs of a task.
func (c *checks) runsOf(name string) []seenRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []seenRun{}
	for _, x := range c.runs[name] {
		out = append(out, *x)
	}
	return out
}

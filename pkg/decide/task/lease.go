package task

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// leaseAsked grants what is current, stops what is not, and frees what the
// agent no longer holds.
func (m *Machine) leaseAsked(e LeaseRequest, out []Action) []Action {
	if !m.current(e.Sender) {
		return out
	}
	if e.Epoch < m.epoch {
		return m.ask(e.Agent.ID, out)
	}
	g := GrantLease{Agent: e.Agent.ID, Epoch: m.epoch, RequestedAt: e.SentAt, Duration: m.Lease}
	listed := make(map[ID]Attempt, len(e.Attempts))
	for _, l := range e.Attempts {
		listed[l.Task] = l.Attempt
		if l.Final >= Refused {
			a := Answer{Sender: e.Sender, Kind: l.Final, Task: l.Task, Attempt: l.Attempt}
			a.Checkpoint = l.Checkpoint
			a.Reason = l.Reason
			out = m.answer(a, out)
			continue
		}
		if m.renew(e.Sender, l) {
			g.Attempts = append(g.Attempts, l)
			continue
		}
		m.stale(e.Sender, l)
	}
	m.absent(e, listed)
	if len(g.Attempts) > 0 {
		out = append(out, g)
	}
	return out
}

// renew extends the lease of a current attempt and reports whether it may run.
func (m *Machine) renew(s Sender, l HeldAttempt) bool {
	if !m.mayGrant() {
		return false
	}
	if o, ok := m.moving[l.Task]; ok && o.host == s.Agent.ID && o.attempt == l.Attempt {
		return true
	}
	r := m.runs[l.Task]
	if r == nil || r.attempt != l.Attempt || r.host != s.Agent.ID {
		return false
	}
	j := m.State.Jobs[l.Task.Job]
	if j.EndPhase != 0 {
		return false
	}
	if !r.granted {
		m.Placer.Confirm(l.Task)
	}
	r.granted = true
	r.see(s)
	r.until = later(r.until, m.now.Add(m.stretch(m.Lease)))
	return true
}

// stale stops an attempt that must not run, but leaves one that only waits for the store.
func (m *Machine) stale(s Sender, l HeldAttempt) {
	r := m.runs[l.Task]
	if r != nil && r.attempt == l.Attempt && r.host == s.Agent.ID {
		r.see(s)
		if j := m.State.Jobs[l.Task.Job]; j.EndPhase == 0 {
			return
		}
	}
	m.after(Stop{Agent: s.Agent.ID, Epoch: m.epoch, Task: l.Task, Attempt: l.Attempt})
}

// absent ends the attempts that the agent would hold if they were running.
func (m *Machine) absent(e LeaseRequest, listed map[ID]Attempt) {
	var gone []ID
	for id, r := range m.host(e.Agent.ID).runs {
		if listed[id] == r.attempt || !r.missing(e.Sender) {
			continue
		}
		gone = append(gone, id)
	}
	for _, id := range sorted(gone) {
		m.end(id, Record{Op: OpRequeue, Reason: "not held"})
	}
}

// missing reports whether a list of s without r proves that r is over.
func (r *run) missing(s Sender) bool {
	if !r.granted {
		return r.inherited
	}
	return r.life != s.Agent.Incarnation || s.SentAt.After(r.seen)
}

func (r *run) see(s Sender) {
	if r.life != s.Agent.Incarnation {
		r.life = s.Agent.Incarnation
		r.seen = s.SentAt
		return
	}
	r.seen = later(r.seen, s.SentAt)
}

// ask asks an agent for what it holds, at most once each retry time.
func (m *Machine) ask(id fleet.ID, out []Action) []Action {
	h := m.host(id)
	if m.now.Sub(h.asked) < defaultRetry {
		return out
	}
	h.asked = m.now
	return append(out, PollAgent{Agent: id, Epoch: m.epoch})
}

// tick ends what has lapsed and repeats what was not answered.
func (m *Machine) tick(out []Action) []Action {
	var ids []ID
	for id, r := range m.runs {
		if m.due(r) {
			ids = append(ids, id)
		}
	}
	for _, id := range sorted(ids) {
		if r := m.runs[id]; r != nil {
			out = m.overdue(id, r, out)
		}
	}
	if m.now.Sub(m.looked) >= m.GiveUpAfter/4 {
		m.looked = m.now
		m.lookOver()
	}
	return out
}

// due reports whether r needs a look at this tick.
func (m *Machine) due(r *run) bool {
	switch {
	case m.lapsed(r), m.unanswered(r):
		return true
	case !r.asked.IsZero():
		return m.now.Sub(r.asked) >= defaultRetry
	}
	return r.inherited && !r.granted
}

func (m *Machine) lapsed(r *run) bool {
	// An end told during a pause of the owner is heard before the lease counts as lapsed.
	return (r.granted || r.inherited) && m.now.After(r.until) && m.now.Sub(m.woke) >= wakeGrace
}

func (m *Machine) unanswered(r *run) bool {
	return !r.granted && !r.inherited && !r.sent.IsZero() && m.now.Sub(r.sent) > m.StartTimeout
}

func (m *Machine) overdue(id ID, r *run, out []Action) []Action {
	switch {
	case m.lapsed(r):
		m.end(id, Record{Op: OpRequeue, Reason: "lease lapsed"})
	case m.unanswered(r):
		m.Placer.Refused(m.now, r.host)
		m.end(id, Record{Op: OpRequeue, Reason: "no answer to start"})
	case !r.asked.IsZero():
		r.asked = m.now
		m.repeat(id, r)
	default:
		out = m.ask(r.host, out)
	}
	return out
}

// repeat sends the stop or eviction of r again.
func (m *Machine) repeat(id ID, r *run) {
	if r.evicting && m.State.Jobs[id.Job].EndPhase == 0 {
		m.after(Evict{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
		return
	}
	m.after(Stop{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// sorted orders ids, so that equal inputs give equal actions.
func sorted(ids []ID) []ID {
	slices.SortFunc(ids, func(a, b ID) int {
		if c := strings.Compare(string(a.Job), string(b.Job)); c != 0 {
			return c
		}
		return int(a.Index) - int(b.Index)
	})
	return ids
}

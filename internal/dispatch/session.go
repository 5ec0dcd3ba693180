package dispatch

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Accept serves the link of a node that said hello, until it ends.
func (d *Dispatcher) Accept(c *link.Conn, h link.Hello) {
	s := &session{hello: h, conn: c, workers: map[batch.WorkerKey]bool{}, wanted: map[batch.WorkerKey]bool{}}
	for _, k := range h.Workers {
		s.wanted[k] = true
	}
	if !d.post(func(now time.Time) { d.join(now, s) }) {
		c.Close()
	}
}

// Message takes a message of a session's link.
func (d *Dispatcher) Message(c *link.Conn, h *link.Hello, m link.Message) {
	d.post(func(now time.Time) {
		s := d.sessions[h.Node]
		if s == nil || s.conn != c {
			return
		}
		d.message(now, s, m)
	})
}

// LinkClosed says that a link is over.
func (d *Dispatcher) LinkClosed(c *link.Conn, h *link.Hello) {
	d.post(func(now time.Time) {
		if s := d.sessions[h.Node]; s != nil && s.conn == c {
			d.leave(now, s, "link closed")
		}
	})
}

func (d *Dispatcher) join(now time.Time, s *session) {
	if old := d.sessions[s.hello.Node]; old != nil {
		d.leave(now, old, "new link")
	}
	s.heard = now
	d.sessions[s.hello.Node] = s
	delete(d.lastHeard, s.hello.Node)
	if d.loaded {
		d.welcome(now, s.hello.Node, s)
	}
}

// welcome opens the session.
func (d *Dispatcher) welcome(now time.Time, name string, s *session) {
	if n, ok := d.nodes[name]; ok && n.life == 0 {
		// A key of an earlier term holds for the first process that's seen in this one.
		n.life = s.hello.Life
		d.nodes[name] = n
	}
	if !s.hello.Host && !d.registered(name, s) {
		d.register(name, s, func(now time.Time) { d.welcome(now, name, s) })
		return
	}
	s.before = d.leaving[name]
	d.fences++
	s.fence = (int64(d.Term.Epoch)*fenceStep + d.fences) * hostagent.FenceRoom
	s.heard = now
	s.conn.Send(link.Message{Welcome: &link.Welcome{Epoch: int64(d.Term.Epoch), Fence: s.fence}})
	d.Log.Event(eventlog.HostJoined).Str("peer", name).Int64("life", s.hello.Life).Int64("fence", s.fence).
		Bool("host", s.hello.Host).Msg("")
}

// registered reports whether the store names the node as it is, for sure: a
// process that may have removed its key, or its successor, writes it anew.
func (d *Dispatcher) registered(name string, s *session) bool {
	n, ok := d.nodes[name]
	return ok && !n.forgotten && !s.hello.Unregistered && n.life == s.hello.Life &&
		n.Address == s.hello.Address && n.Host == s.hello.Host
}

// register writes the node's key and then goes on. A host has its key before
// its worker gets a lease, so that the next scheduler knows whom to wait for.
func (d *Dispatcher) register(name string, s *session, then func(time.Time)) {
	n := node{Address: s.hello.Address, Host: s.hello.Host, revision: d.nodes[name].revision, life: s.hello.Life}
	v, err := json.Marshal(n)
	if err != nil {
		d.Log.Error().Err(err).Msg("node can't be encoded")
		return
	}
	d.stopped.Go(func() {
		for d.ctx.Err() == nil {
			r, err := d.apply(kv.Change{
				Conditions: []kv.Condition{{Key: nodePrefix + name, Revision: n.revision}},
				Puts:       []kv.Put{{Key: nodePrefix + name, Value: v}},
			})
			var conflict *kv.Conflict
			if errors.As(err, &conflict) {
				if r, ok := conflict.Revision(nodePrefix + name); ok {
					n.revision = r
				}
			}
			if err == nil {
				n.revision = r
				d.post(func(now time.Time) {
					d.nodes[name] = n
					if d.sessions[name] == s {
						s.hello.Unregistered = false
						then(now)
					}
				})
				return
			}
			d.Log.Warning(eventlog.ProgressNotStored).Str("key", nodePrefix+name).Err(err).Msg("")
			kv.WaitRetry(d.ctx)
		}
	})
}

// forget removes the key of a host on which no lease goes on, so that the next
// scheduler doesn't wait for it.
func (d *Dispatcher) forget(name string) {
	delete(d.leaving, name)
	if s := d.sessions[name]; s != nil && len(s.workers) > 0 {
		return
	}
	n, ok := d.nodes[name]
	if !ok || n.forgotten {
		return
	}
	kept := n
	n.forgotten, n.revision = true, 0
	d.nodes[name] = n
	d.Log.Event(eventlog.HostForgotten).Str("peer", name).Msg("")
	d.stopped.Go(func() {
		_, err := d.apply(kv.Change{
			Conditions: []kv.Condition{{Key: nodePrefix + name, Revision: kept.revision}},
			Removes:    []string{nodePrefix + name},
		})
		var conflict *kv.Conflict
		if errors.As(err, &conflict) {
			if r, ok := conflict.Revision(nodePrefix + name); ok && r == 0 {
				// The host has removed it itself.
				return
			}
		}
		if err != nil {
			d.Log.Warning(eventlog.ProgressNotStored).Str("key", nodePrefix+name).Err(err).Msg("")
			d.post(func(now time.Time) {
				if d.nodes[name].forgotten {
					d.nodes[name] = kept
					d.leaving[name] = now.Add(forgetAgain)
				}
			})
		}
	})
}

// forgetAgain is the pause before the removal of a host's key is tried again.
const forgetAgain = 500 * time.Millisecond

func (d *Dispatcher) leave(now time.Time, s *session, why string) {
	name := s.hello.Node
	delete(d.sessions, name)
	s.conn.Close()
	d.plan.Silent(name)
	for k := range s.workers {
		d.lapses[k] = s.granted
	}
	if s.hello.Host {
		// A session without a worker leaves no lease behind but that of the one before.
		over := s.before
		if len(s.workers) > 0 && s.granted.After(over) {
			over = s.granted
		}
		d.leaving[name] = over
	}
	d.lastHeard[name] = s.heard
	d.Log.Warning(eventlog.HostLost).Str("peer", name).Str("why", why).Time("leaseEnds", s.granted).
		Dur("silent", now.Sub(s.heard)).Msg("")
}

func (d *Dispatcher) message(now time.Time, s *session, m link.Message) {
	s.heard = now
	switch {
	case m.Ping != nil:
		d.ping(now, s, m.Ping)
	case m.Snapshot != nil:
		d.snapshot(now, s, m.Snapshot)
	case m.Worker != nil:
		d.plan.Update(now, m.Worker.Worker)
		d.Log.Event(eventlog.WorkerChanged).Str("worker", m.Worker.Worker.ID).Bool("draining", m.Worker.Worker.Draining).
			Dur("drainLeft", m.Worker.Worker.DrainLeft).Msg("")
	case m.Gone != nil:
		d.gone(m.Gone.Key, m.Gone.Why)
		delete(s.workers, m.Gone.Key)
		delete(s.wanted, m.Gone.Key)
		if len(s.workers) == 0 {
			d.leaving[s.hello.Node] = s.before
		}
		d.heardHost(now, s)
	case m.Ends != nil:
		d.ends(now, m.Ends.Key, m.Ends.Ends)
	case m.Started != nil:
		d.started(now, m.Started)
	case m.Progress != nil:
		d.plan.Progressed(now, m.Progress.Key, m.Progress.Runs, m.Progress.Squeezed)
	case m.Accepted != nil:
		d.accepted(now, m.Accepted)
	case m.Canceled != nil:
		d.plan.Cancel(now, m.Canceled.Job)
	case m.Ask != nil:
		d.answer(s, m.Ask)
	case m.Keep != nil:
		d.keep(now, s, m.Keep)
	}
}

// ping grants the session's lease, unless another scheduler may have begun.
func (d *Dispatcher) ping(now time.Time, s *session, p *link.Ping) {
	s.reached(now, p.StoreAge)
	if p.Clear && d.unheard[s.hello.Node] {
		clear(s.wanted)
		d.heardHost(now, s)
	}
	if s.fence == 0 {
		return
	}
	if !d.tenure().Newest(now) {
		return
	}
	s.granted = now.Add(hostagent.Grant + hostagent.Grant/50 + grantSlack)
	s.conn.Send(link.Message{Pong: &link.Pong{Sent: p.Sent, Grant: hostagent.Grant, Strongest: d.strongest}})
}

// reached takes in how long ago the store answered the node.
func (s *session) reached(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	at := now.Add(-age)
	if s.inTouch.IsZero() || at.Sub(s.contact) > contactEvery || age > contactEvery {
		s.inTouch = at
	}
	s.contact = at
}

func (d *Dispatcher) snapshot(now time.Time, s *session, m *link.Snapshot) {
	if m.Fence != s.fence {
		return
	}
	if !d.registered(s.hello.Node, s) {
		d.register(s.hello.Node, s, func(now time.Time) { d.snapshot(now, s, m) })
		return
	}
	k := m.Worker.Key()
	delete(d.lapses, k)
	s.workers[k] = true
	delete(s.wanted, k)
	kept := d.plan.Join(now, s.hello.Node, m.Worker, m.Running, m.Ended)
	f := link.Facts{Key: k}
	for _, t := range kept {
		if j, ok := d.plan.Job(t.Job); ok {
			f.Facts = append(f.Facts, fact(t, &j.Steps[t.Step]))
		}
	}
	s.conn.Send(link.Message{Facts: &f})
	d.Log.Event(eventlog.WorkerJoined).Str("worker", k.ID).Int64("born", k.Born).Str("peer", s.hello.Node).Int64("fence", m.Fence).
		Int("running", len(m.Running)).Int("kept", len(kept)).Int("ended", len(m.Ended)).Msg("")
	d.note(k, m.Ended)
	d.heardHost(now, s)
}

func fact(t batch.Task, st *batch.Step) link.Fact {
	return link.Fact{Task: t, Target: st.TailTarget, Fills: st.Fills, Image: st.Image, MilliCPU: st.Need.MilliCPU}
}

// heardHost takes a host from those that may run earlier work unheard.
func (d *Dispatcher) heardHost(now time.Time, s *session) {
	if len(s.wanted) == 0 && d.unheard[s.hello.Node] {
		delete(d.unheard, s.hello.Node)
		d.settle(now)
	}
}

func (d *Dispatcher) settle(now time.Time) {
	if !d.loaded || d.plan.Settled() {
		return
	}
	if len(d.unheard) > 0 && now.Sub(d.begun) < silentHost {
		return
	}
	d.plan.Settle()
	for name := range d.unheard {
		// It was waited out.
		d.leaving[name] = now
	}
	d.Log.Event(eventlog.Settled).Int("unheard", len(d.unheard)).Dur("after", now.Sub(d.begun)).Msg("")
	clear(d.unheard)
}

func (d *Dispatcher) gone(k batch.WorkerKey, why string) {
	n := d.plan.Gone(k)
	delete(d.lapses, k)
	delete(d.notes, k)
	d.Log.Warning(eventlog.WorkerGone).Str("worker", k.ID).Int64("born", k.Born).Str("why", why).Int("runsLost", n).Msg("")
}

func (d *Dispatcher) ends(now time.Time, k batch.WorkerKey, ends []batch.End) {
	d.plan.Ended(now, k, ends)
	d.note(k, ends)
}

// note logs ends that were taken in, and has the worker forget them after the next flush.
func (d *Dispatcher) note(k batch.WorkerKey, ends []batch.End) {
	for _, e := range ends {
		d.notes[k] = max(d.notes[k], e.Seq)
		d.Log.Metrics.Count(telemetry.Ends, "how", string(e.How))
		d.Log.Event(eventlog.RunEnded).Str("job", string(e.Task.Job)).Str("task", e.Task.String()).Int("run", e.Number).
			Str("how", string(e.How)).Str("worker", k.ID).Int64("seq", e.Seq).Msg("")
	}
}

func (d *Dispatcher) started(now time.Time, m *link.Started) {
	d.plan.Started(now, m.Key, m.Task, m.Number, m.Refusal != "", m.Refusal == link.RefusedUnhealthy || m.Refusal == link.RefusedSilent,
		m.Refusal == link.RefusedOld)
	if m.Refusal != "" {
		d.Log.Warning(eventlog.RunRefused).Str("job", string(m.Task.Job)).Str("task", m.Task.String()).Int("run", m.Number).
			Str("worker", m.Key.ID).Str("why", string(m.Refusal)).Msg("")
	}
}

// accepted takes a job in that an entry has just stored. Where an earlier
// scheduler may have heard of it too and hosts are still unheard, the store's
// watch decides when it may begin.
func (d *Dispatcher) accepted(now time.Time, a *link.Accepted) {
	if !d.plan.Settled() {
		return
	}
	d.arrive(now, kv.Item{Key: JobPrefix + string(a.Job), Value: a.Value, Revision: kv.Revision(a.Revision)}, false)
}

func (d *Dispatcher) answer(s *session, a *link.Ask) {
	r := link.Reply{ID: a.ID}
	switch {
	case !d.loaded:
	case a.Queue != "":
		r.Known, r.Pending = true, d.plan.Pending(a.Queue)
	default:
		r.State, r.Known = d.plan.State(a.Job)
	}
	s.conn.Send(link.Message{Reply: &r})
}

// send passes a message to a host; a host without a session gets it told again when it joins.
func (d *Dispatcher) send(host string, m link.Message) {
	if s := d.sessions[host]; s != nil {
		s.conn.Send(m)
	}
}

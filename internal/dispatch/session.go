package dispatch

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

// Accept adds a session on the link of a node that sent a hello, or closes the
// link if the term is lost.
func (d *Dispatcher) Accept(c *link.Conn, h link.Hello) {
	s := &session{hello: h, conn: c, workers: map[batch.WorkerKey]bool{}, awaitedSnapshots: map[batch.WorkerKey]bool{}}
	for _, k := range h.Workers {
		s.awaitedSnapshots[k] = true
	}
	if !d.post(func(now time.Time) { d.addSession(now, s) }) {
		c.Close()
	}
}

// Message handles a message received on a link; it's ignored unless the link is that of the node's session.
func (d *Dispatcher) Message(c *link.Conn, h *link.Hello, m link.Message) {
	d.post(func(now time.Time) {
		s := d.sessions[h.Node]
		if s == nil || s.conn != c {
			return
		}
		d.handleMessage(now, s, m)
	})
}

// LinkClosed closes the session of a link that ended.
func (d *Dispatcher) LinkClosed(c *link.Conn, h *link.Hello) {
	d.post(func(now time.Time) {
		if s := d.sessions[h.Node]; s != nil && s.conn == c {
			d.closeSession(now, s, "link closed")
		}
	})
}

// addSession adds a session in place of the node's previous one, and opens it
// if the state is loaded.
func (d *Dispatcher) addSession(now time.Time, s *session) {
	if old := d.sessions[s.hello.Node]; old != nil {
		d.closeSession(now, old, "new link")
	}
	s.lastContact = now
	d.sessions[s.hello.Node] = s
	d.members.Joined(now, d.Term.LastContact(), s.hello.Node, s.hello.Incarnation)
	if d.loaded {
		d.openSession(now, s.hello.Node, s)
	}
}

// openSession sends the welcome with a new fence. It registers a node that isn't
// a host first; a host is registered with its first snapshot.
func (d *Dispatcher) openSession(now time.Time, name string, s *session) {
	if n, ok := d.nodes[name]; ok && n.incarnation == 0 {
		// The key is from an earlier term: assume that it belongs to the first
		// incarnation that connects in this one.
		n.incarnation = s.hello.Incarnation
		d.nodes[name] = n
	}
	if !s.hello.Host && !d.isRegistered(name, s) {
		d.register(name, s, func(now time.Time) { d.openSession(now, name, s) })
		return
	}
	if end, latest := d.hostLeaseEnds[name], grantEnd(now); d.awaitedHosts[name] && end.After(latest) {
		// The node took its last lease from an earlier scheduler before it opened this session.
		d.hostLeaseEnds[name] = latest
	}
	s.previousLeaseEnd = d.hostLeaseEnds[name]
	d.sessionCount++
	s.fence = (int64(d.Term.Epoch)*maxSessionsPerTerm + d.sessionCount) * hostagent.FencesPerSession
	s.lastContact = now
	w := link.Welcome{Epoch: int64(d.Term.Epoch), Fence: s.fence}
	if !d.scheduler.Recovered() {
		w.EarlierLeases = max(d.hostWaitEnd().Sub(now), 0)
	}
	s.conn.Send(link.Message{Welcome: &w})
	d.Log.Event(eventlog.HostJoined).Str("peer", name).Int64("life", s.hello.Incarnation).Int64("fence", s.fence).
		Bool("host", s.hello.Host).Msg("")
}

// isRegistered reports whether the store certainly holds the current key of the
// node. It's false for a process that may have removed its key and for a newer
// incarnation, so that the key is rewritten.
func (d *Dispatcher) isRegistered(name string, s *session) bool {
	n, ok := d.nodes[name]
	return ok && !n.keyRemoved && !s.hello.Unregistered && n.incarnation == s.hello.Incarnation &&
		n.Address == s.hello.Address && n.Host == s.hello.Host
}

// maxRegistrations bounds the writes of nodes' keys in progress: each takes a connection to the
// store, and all nodes connect at once when a deployment starts.
const maxRegistrations = 32

// register writes the node's key in the background and then calls then, if the
// session still exists. It does nothing while a write is pending. A host's key is
// written before its worker gets a lease, so that the next scheduler knows which
// hosts to wait for.
func (d *Dispatcher) register(name string, s *session, then func(time.Time)) {
	if s.registering {
		return
	}
	s.registering = true
	n := node{Address: s.hello.Address, Host: s.hello.Host, revision: d.nodes[name].revision, incarnation: s.hello.Incarnation}
	v, err := json.Marshal(n)
	if err != nil {
		d.Log.Error().Err(err).Msg("node can't be encoded")
		return
	}
	d.background.Go(func() {
		for d.ctx.Err() == nil {
			select {
			case d.registrations <- struct{}{}:
			case <-d.ctx.Done():
				return
			}
			r, err := d.applyInTerm(kv.Change{
				Conditions: []kv.Condition{{Key: nodePrefix + name, Revision: n.revision}},
				Puts:       []kv.Put{{Key: nodePrefix + name, Value: v}},
			})
			<-d.registrations
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
					s.registering = false
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

// removeHost removes the key of a host whose leases have ended, so that the next
// scheduler doesn't wait for it. It does nothing if a session reports workers.
func (d *Dispatcher) removeHost(name string) {
	delete(d.hostLeaseEnds, name)
	if s := d.sessions[name]; s != nil && len(s.workers)+len(s.pendingSnapshots) > 0 {
		return
	}
	n, ok := d.nodes[name]
	if !ok || n.keyRemoved && n.revision == 0 {
		return
	}
	revision := n.revision
	n.keyRemoved, n.revision = true, 0
	d.nodes[name] = n
	d.Log.Event(eventlog.HostRemoved).Str("peer", name).Dur("storeAge", time.Since(d.Term.LastContact())).Msg("")
	d.background.Go(func() {
		_, err := d.applyInTerm(kv.Change{
			Conditions: []kv.Condition{{Key: nodePrefix + name, Revision: revision}},
			Removes:    []string{nodePrefix + name},
		})
		var conflict *kv.Conflict
		if errors.As(err, &conflict) {
			if r, ok := conflict.Revision(nodePrefix + name); ok {
				revision = r
			}
			if revision == 0 {
				// The host removed the key itself, or an earlier attempt took effect.
				return
			}
		}
		if err != nil {
			d.Log.Warning(eventlog.ProgressNotStored).Str("key", nodePrefix+name).Err(err).Msg("")
			d.post(func(now time.Time) {
				// The removal may still take effect, so that the host counts as not registered.
				if n := d.nodes[name]; n.keyRemoved {
					n.revision = revision
					d.nodes[name] = n
					d.hostLeaseEnds[name] = now.Add(hostRemovalRetryDelay)
				}
			})
		}
	})
}

// hostRemovalRetryDelay is the delay before a failed removal of a host's key is retried.
const hostRemovalRetryDelay = 500 * time.Millisecond

// closeSession closes a session and its link, and records when the leases of the
// host's workers end. The runs of the host stay assigned.
func (d *Dispatcher) closeSession(now time.Time, s *session, reason string) {
	name := s.hello.Node
	delete(d.sessions, name)
	s.conn.Close()
	d.scheduler.MarkUnresponsive(name)
	end := s.previousLeaseEnd
	if len(s.workers) > 0 {
		end = s.latestLeaseEnd()
	}
	for k := range s.workers {
		d.workerLeaseEnds[k] = end
	}
	// A session that wasn't opened doesn't know of the leases before it.
	if s.hello.Host && s.fence != 0 {
		d.hostLeaseEnds[name] = end
	}
	d.Log.Warning(eventlog.HostLost).Str("peer", name).Str("why", reason).Time("leaseEnds", end).
		Dur("silent", now.Sub(s.lastContact)).Msg("")
}

// latestLeaseEnd returns when the last lease that the host may hold ends: workers keep the
// lease of an earlier session until the present one grants a longer one.
func (s *session) latestLeaseEnd() time.Time {
	if s.leaseEnd.After(s.previousLeaseEnd) {
		return s.leaseEnd
	}
	return s.previousLeaseEnd
}

// handleMessage handles one message of a node.
func (d *Dispatcher) handleMessage(now time.Time, s *session, m link.Message) {
	s.lastContact = now
	switch {
	case m.Ping != nil:
		d.handlePing(now, s, m.Ping)
	case m.Snapshot != nil:
		d.handleSnapshot(now, s, m.Snapshot)
	case m.WorkerUpdate != nil:
		s.updateSnapshot(m.WorkerUpdate.Worker)
		d.scheduler.UpdateWorker(now, m.WorkerUpdate.Worker)
		d.Log.Event(eventlog.WorkerChanged).Str("worker", m.WorkerUpdate.Worker.ID).Bool("draining", m.WorkerUpdate.Worker.Draining).
			Dur("drainLeft", m.WorkerUpdate.Worker.DrainRemaining).Msg("")
	case m.WorkerSilent != nil:
		d.handleSilence(s, m.WorkerSilent)
	case m.WorkerGone != nil:
		for _, x := range m.WorkerGone.OpenStarts {
			d.scheduler.NoteOpenStart(m.WorkerGone.Key, x.Task, x.Number, now.Add(x.Left))
		}
		if len(m.WorkerGone.OpenStarts) > 0 {
			d.scheduler.ExpectLateStarts(now, m.WorkerGone.Key)
		}
		if m.WorkerGone.StillLives {
			d.scheduler.SettleLateStarts(now, m.WorkerGone.Key.ID)
		}
		d.removeWorker(m.WorkerGone.Key, m.WorkerGone.Reason)
		s.dropSnapshot(m.WorkerGone.Key)
		delete(s.workers, m.WorkerGone.Key)
		if len(s.workers) == 0 {
			d.hostLeaseEnds[s.hello.Node] = s.previousLeaseEnd
		}
		if s.awaitedSnapshots[m.WorkerGone.Key] {
			// The end of any other incarnation doesn't tell which ones the host has yet to report.
			delete(s.awaitedSnapshots, m.WorkerGone.Key)
			d.checkHostReported(now, s)
		}
	case m.Ends != nil:
		d.handleEnds(now, m.Ends.Key, m.Ends.Ends)
	case m.StartResult != nil:
		d.handleStarted(now, m.StartResult)
	case m.Progress != nil:
		d.scheduler.HandleProgress(now, m.Progress.Key, m.Progress.Runs, m.Progress.Throttling)
	case m.JobAccepted != nil:
		d.handleAccepted(now, m.JobAccepted)
		d.scheduler.SetOrigin(m.JobAccepted.Job, s.hello.DataCentre)
	case m.JobCancelled != nil:
		d.scheduler.Cancel(now, m.JobCancelled.Job)
	case m.Query != nil:
		d.answerQuery(s, m.Query)
	case m.StoreRequest != nil:
		d.relayWrite(now, s, m.StoreRequest)
	}
}

// handlePing renews the session's lease, unless the next scheduler may not wait for its end.
func (d *Dispatcher) handlePing(now time.Time, s *session, p *link.Ping) {
	s.recordStoreContact(now, p.StoreAge)
	if p.NoPriorRuns && d.awaitedHosts[s.hello.Node] {
		clear(s.awaitedSnapshots)
		d.checkHostReported(now, s)
	}
	if s.fence == 0 {
		return
	}
	if p.Echo > 0 {
		d.members.Echoed(d.startTime.Add(time.Duration(p.Echo)), s.hello.Node, s.hello.Incarnation)
	}
	if l := d.Term.Previous.Leader; s.hello.Node == l.Node && s.hello.Address == l.Address.String() {
		d.endPreviousTerm(now)
	}
	e := d.termEvidence()
	if d.Term.IsLost() || !e.MayRenew(now) {
		return
	}
	s.leaseEnd = grantEnd(now)
	pong := &link.Pong{Sent: p.Sent, Grant: hostagent.LeaseGrant, MaxStrength: d.strongest, Stamp: int64(now.Sub(d.startTime)), OutageAge: e.OutageAge(now)}
	if s.hello.Node != d.Node {
		d.members.Answered(now, s.hello.Node, s.hello.Incarnation)
	}
	if !s.hello.Host {
		pong.Load, pong.Memory = d.loadSummary, d.memoryReport
	}
	s.conn.Send(link.Message{Pong: pong})
}

// grantEnd returns when a lease that is granted at a time has certainly ended.
func grantEnd(at time.Time) time.Time { return leaseEnd(at, hostagent.LeaseGrant) }

// leaseEnd returns when a lease that a host reports to last for left has certainly ended.
func leaseEnd(at time.Time, left time.Duration) time.Time {
	return at.Add(left + left/50 + leaseGrantMargin)
}

// recordStoreContact records that the store answered the node age ago; negative if it never did.
func (s *session) recordStoreContact(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	at := now.Add(-age)
	if s.storeContactSince.IsZero() || at.Sub(s.storeContact) > maxStoreContactAge || age > maxStoreContactAge {
		s.storeContactSince = at
	}
	s.storeContact = at
}

// handleSnapshot adds a worker with its running and ended runs, and sends the host
// the RunInfo of the runs that continue. It ignores a snapshot under another fence.
// If the host has to be registered first, the snapshot is kept until that is done
// or the worker is reported as gone.
func (d *Dispatcher) handleSnapshot(now time.Time, s *session, m *link.Snapshot) {
	if m.Fence != s.fence {
		return
	}
	if d.isRegistered(s.hello.Node, s) {
		d.addWorker(now, s, m, 0)
		return
	}
	s.dropSnapshot(m.Worker.Key())
	s.pendingSnapshots = append(s.pendingSnapshots, pendingSnapshot{snapshot: m, receivedAt: now})
	d.register(s.hello.Node, s, func(now time.Time) {
		pending := s.pendingSnapshots
		s.pendingSnapshots = nil
		for _, p := range pending {
			d.addWorker(now, s, p.snapshot, now.Sub(p.receivedAt))
			d.scheduler.SetSilent(p.snapshot.Worker.Key(), p.silent)
		}
	})
}

// pendingSnapshot is a snapshot of a worker whose host isn't registered yet.
type pendingSnapshot struct {
	snapshot   *link.Snapshot
	receivedAt time.Time
	// silent is set if the worker has stopped to answer since.
	silent bool
}

// dropSnapshot drops the pending snapshot of a worker, if there is one.
func (s *session) dropSnapshot(k batch.WorkerKey) {
	s.pendingSnapshots = slices.DeleteFunc(s.pendingSnapshots, func(p pendingSnapshot) bool { return p.snapshot.Worker.Key() == k })
}

// updateSnapshot updates the description of a worker in its pending snapshot, if there is one.
func (s *session) updateSnapshot(w batch.Worker) {
	for _, p := range s.pendingSnapshots {
		if p.snapshot.Worker.Key() == w.Key() {
			p.snapshot.Worker = w
		}
	}
}

// handleSilence records whether a worker answers its host. A worker whose snapshot is
// pending, or hasn't come in this session, may be known from an earlier session, of which this tells nothing.
func (d *Dispatcher) handleSilence(s *session, m *link.WorkerSilent) {
	for i, p := range s.pendingSnapshots {
		if p.snapshot.Worker.Key() == m.Key {
			s.pendingSnapshots[i].silent = m.Silent
			return
		}
	}
	if s.workers[m.Key] {
		d.scheduler.SetSilent(m.Key, m.Silent)
		d.Log.Event(eventlog.WorkerChanged).Str("worker", m.Key.ID).Bool("silent", m.Silent).Msg("")
	}
}

// addWorker adds the worker of a snapshot, which waited for the registration of the host.
func (d *Dispatcher) addWorker(now time.Time, s *session, m *link.Snapshot, waited time.Duration) {
	k := m.Worker.Key()
	delete(d.workerLeaseEnds, k)
	s.workers[k] = true
	delete(s.awaitedSnapshots, k)
	if end := leaseEnd(now.Add(-waited), m.LeaseLeft); end.After(s.previousLeaseEnd) {
		s.previousLeaseEnd = end
	}
	kept := d.scheduler.SyncWorker(now, s.hello.Node, m.Worker, m.Running, m.Ended)
	f := link.SnapshotAck{Key: k}
	for _, t := range kept {
		if j, ok := d.scheduler.Job(t.Job); ok {
			f.Runs = append(f.Runs, runInfo(t, &j.Steps[t.Step]))
		}
	}
	s.conn.Send(link.Message{SnapshotAck: &f})
	d.Log.Event(eventlog.WorkerJoined).Str("worker", k.ID).Int64("born", k.StartTime).Str("peer", s.hello.Node).Int64("fence", m.Fence).
		Int("running", len(m.Running)).Int("kept", len(kept)).Int("ended", len(m.Ended)).Dur("waited", waited).Msg("")
	d.recordEnds(k, m.Ended)
	d.checkHostReported(now, s)
}

// runInfo returns what a host needs to know about a task to pace it.
func runInfo(t batch.Task, st *batch.Step) link.RunInfo {
	return link.RunInfo{Task: t, LatencyTarget: st.LatencyTarget, BestEffort: st.BestEffort, Image: st.Image, MilliCPU: st.Need.MilliCPU}
}

// checkHostReported ends the wait for a host of an earlier term once all its workers have reported.
func (d *Dispatcher) checkHostReported(now time.Time, s *session) {
	if len(s.awaitedSnapshots) == 0 && d.awaitedHosts[s.hello.Node] {
		delete(d.awaitedHosts, s.hello.Node)
		d.tryCompleteTakeover(now)
	}
}

// tryCompleteTakeover tells the scheduler that no unreported task of an earlier
// term can run, once all awaited hosts have reported or the leases of earlier terms have ended.
func (d *Dispatcher) tryCompleteTakeover(now time.Time) {
	if !d.loaded || d.scheduler.Recovered() {
		return
	}
	if len(d.awaitedHosts) > 0 && now.Before(d.hostWaitEnd()) {
		return
	}
	d.scheduler.FinishRecovery()
	d.Log.Event(eventlog.TakeoverCompleted).Int("unheard", len(d.awaitedHosts)).Dur("after", now.Sub(d.startTime)).Msg("")
	clear(d.awaitedHosts)
}

// removeWorker removes a worker on which nothing runs any more.
func (d *Dispatcher) removeWorker(k batch.WorkerKey, reason string) {
	n := d.scheduler.RemoveWorker(k)
	delete(d.workerLeaseEnds, k)
	delete(d.endAcks, k)
	d.Log.Warning(eventlog.WorkerRemoved).Str("worker", k.ID).Int64("born", k.StartTime).Str("why", reason).Int("runsLost", n).
		Dur("storeAge", time.Since(d.Term.LastContact())).Msg("")
}

// handleEnds passes ends of runs to the scheduler and records them for acknowledgement.
func (d *Dispatcher) handleEnds(now time.Time, k batch.WorkerKey, ends []batch.End) {
	d.scheduler.HandleEnds(now, k, ends)
	d.recordEnds(k, ends)
}

// recordEnds logs ends of runs and marks them to be acknowledged after the next flush.
func (d *Dispatcher) recordEnds(k batch.WorkerKey, ends []batch.End) {
	for _, e := range ends {
		d.endAcks[k] = max(d.endAcks[k], e.Seq)
		d.Log.Metrics.Increment(telemetry.RunEnds, "how", string(e.How))
		d.Log.Event(eventlog.RunEnded).Str("job", string(e.Task.Job)).Str("task", e.Task.String()).Int("run", e.Number).
			Str("how", string(e.How)).Str("worker", k.ID).Int64("seq", e.Seq).Msg("")
	}
}

// handleStarted passes the outcome of a start order to the scheduler.
func (d *Dispatcher) handleStarted(now time.Time, m *link.StartResult) {
	if m.Refusal == link.RefusedRunMissing {
		d.scheduler.HandleMissingRun(m.Key, m.Task)
	}
	if m.Refusal == link.RefusedNoTicket {
		d.scheduler.DropTicket(m.Key, m.Task)
	}
	switch m.Refusal {
	case link.RefusedLeaseExpired, link.RefusedFenced:
		d.scheduler.HandleUnavailable(now, m.Key, m.Task, m.Number)
	default:
		d.scheduler.HandleStartResult(now, m.Key, m.Task, m.Number, m.Refusal != "", m.Refusal == link.RefusedUnhealthy || m.Refusal == link.RefusedNoAnswer,
			m.Refusal == link.RefusedOldRun)
	}
	if m.OpenLeft > 0 {
		d.scheduler.NoteOpenStart(m.Key, m.Task, m.Number, now.Add(m.OpenLeft))
	}
	if m.Refusal != "" {
		d.Log.Warning(eventlog.RunRefused).Str("job", string(m.Task.Job)).Str("task", m.Task.String()).Int("run", m.Number).
			Str("worker", m.Key.ID).Str("why", string(m.Refusal)).Msg("")
	}
}

// handleAccepted adds a job that an entry has just stored. It ignores the message
// during a takeover: an earlier scheduler may have received the job too and hosts
// are still awaited, so the job is added by the watch of the store, which tells
// whether it may have been started.
func (d *Dispatcher) handleAccepted(now time.Time, a *link.JobAccepted) {
	if !d.scheduler.Recovered() {
		return
	}
	d.addOrDefer(now, kv.Item{Key: JobPrefix + string(a.Job), Value: a.Value, Revision: kv.Revision(a.Revision)}, false)
}

// answerQuery replies to an entry with the state of a job or the pending jobs of
// a queue. The reply is marked unknown until the state is loaded.
func (d *Dispatcher) answerQuery(s *session, a *link.Query) {
	r := link.Reply{ID: a.ID}
	switch {
	case !d.loaded:
	case len(a.Explain) > 0:
		r.Explanation, r.Known = d.explain(time.Now(), a)
	case a.Queue != "":
		r.Known, r.Pending = true, d.scheduler.PendingJobs(a.Queue)
	default:
		r.State, r.Known = d.scheduler.State(a.Job)
	}
	s.conn.Send(link.Message{Reply: &r})
}

// explain tells where the job of a query would go now.
func (d *Dispatcher) explain(now time.Time, a *link.Query) (*schedule.Explanation, bool) {
	j, err := decodeJob(a.Job, a.Explain)
	if err != nil {
		d.Log.Warning(eventlog.ReportRejected).Str("job", string(a.Job)).Err(err).Msg("job to explain can't be used")
		return nil, false
	}
	e := d.scheduler.Explain(now, j)
	return &e, true
}

// send sends a message to a host. Without a session it's dropped; the state is
// exchanged anew when the host connects.
func (d *Dispatcher) send(host string, m link.Message) {
	if s := d.sessions[host]; s != nil {
		s.conn.Send(m)
	}
}

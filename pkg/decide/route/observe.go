package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// removedRetention is how long a removed agent is remembered, so that a late report
// does not add it again.
const removedRetention = time.Hour

// Observe updates the load of an agent from a report. A report of an older or
// removed incarnation is ignored, and so is the load of a report whose At is not
// later than the last one. Leaving applies to all kinds of the incarnation, also
// from a late report, and is never undone by a later one.
func (r *Router) Observe(now time.Time, o Report) {
	l := r.currentAgent(now, o.Agent)
	if l == nil {
		return
	}
	if o.Leaving {
		r.setLeaving(now, l)
	}
	e := l.endpoint(o.Kind)
	if e == nil {
		e = r.addEndpoint(l, o)
	} else if !o.At.After(e.reportedAt) {
		return
	}
	e.applyReport(o)
	r.pools[o.Kind].updateState(now, e)
}

// othersTimeConstant is the time constant of the estimate of the requests that other
// entries have in flight. It is longer than the delay of reports, so that entries
// that act on the same delayed reports do not oscillate together.
const othersTimeConstant = 2 * time.Second

// applyReport stores the reported load and updates the estimate of the requests of
// other entries.
func (e *endpoint) applyReport(o Report) {
	others := float64(max(o.InFlight+o.Queued-e.ownInFlight, 0))
	step := 1.0
	if !e.reportedAt.IsZero() {
		step = min(o.At.Sub(e.reportedAt).Seconds()/othersTimeConstant.Seconds(), 1)
	}
	e.othersInFlight += step * (others - e.othersInFlight)
	e.inFlight = o.InFlight
	e.queued = o.Queued
	e.limit = o.Limit
	e.queueDelay = o.QueueDelay
	e.reportedAt = o.At
}

// Remove removes an agent that failed or left. Later reports of the same or an older
// incarnation are ignored.
func (r *Router) Remove(now time.Time, v fleet.ProcessIncarnation) {
	l := r.currentAgent(now, v)
	if l == nil {
		return
	}
	r.dropEndpoints(l)
	l.removed = true
	l.removedAt = now
	r.forgetRemoved(now)
}

// currentAgent returns the agent of incarnation v. It adds the agent if v is the first
// or a newer incarnation, and returns nil if v is older or removed.
func (r *Router) currentAgent(now time.Time, v fleet.ProcessIncarnation) *agent {
	l, ok := r.agents[v.ID]
	switch {
	case !ok:
	case v.Incarnation < l.incarnation:
		return nil
	case v.Incarnation == l.incarnation && l.removed:
		return nil
	case v.Incarnation == l.incarnation:
		return l
	default:
		r.dropEndpoints(l)
		l.removed = true
		l.removedAt = now
	}
	if r.agents == nil {
		r.agents = map[fleet.ID]*agent{}
	}
	l = &agent{incarnation: v.Incarnation}
	r.agents[v.ID] = l
	return l
}

func (r *Router) dropEndpoints(l *agent) {
	for _, e := range l.endpoints {
		r.pools[e.kind].remove(e)
	}
	l.endpoints = nil
}

func (r *Router) setLeaving(now time.Time, l *agent) {
	l.leaving = true
	for _, e := range l.endpoints {
		r.pools[e.kind].updateState(now, e)
	}
}

func (r *Router) addEndpoint(l *agent, o Report) *endpoint {
	t := tierOf(r.Place.Distance(o.Place))
	e := &endpoint{
		id:    o.Agent.ID,
		kind:  o.Kind,
		place: o.Place,
		agent: l,
		path:  r.pathTo(o.Place, t),
		tier:  t,
	}
	l.endpoints = append(l.endpoints, e)
	r.pool(o.Kind).endpointCount++
	return e
}

func (r *Router) pathTo(w fleet.Place, t tier) *networkPath {
	k := site{region: w.Region, dataCentre: w.DataCentre}
	p, ok := r.paths[k]
	if ok {
		return p
	}
	if r.paths == nil {
		r.paths = map[site]*networkPath{}
	}
	p = &networkPath{oneWayDelay: defaultDelay(t)}
	r.paths[k] = p
	return p
}

// forgetRemoved deletes removed agents after removedRetention. It runs at most once
// in that period.
func (r *Router) forgetRemoved(now time.Time) {
	if now.Sub(r.lastSweep) < removedRetention {
		return
	}
	r.lastSweep = now
	for id, l := range r.agents {
		if l.removed && now.Sub(l.removedAt) >= removedRetention {
			delete(r.agents, id)
		}
	}
}

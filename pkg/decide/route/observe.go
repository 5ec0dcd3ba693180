package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// goneMemory is how long a gone life is remembered, so that a late report does
// not bring it back.
const goneMemory = time.Hour

// Observe takes a report. The higher incarnation wins, then the later At; a
// report of an older or gone life is ignored. Leaving holds for all kinds of
// the life and is never undone by a later report of it.
func (r *Router) Observe(now time.Time, o Report) {
	l := r.life(now, o.Agent)
	if l == nil {
		return
	}
	if o.Leaving {
		r.leave(now, l)
	}
	e := l.peer(o.Kind)
	if e == nil {
		e = r.join(l, o)
	} else if !o.At.After(e.at) {
		return
	}
	e.report(o)
	r.pools[o.Kind].settle(now, e)
}

// othersMemory is the time constant of the estimate of what other entries
// have in flight. It is longer than reports lag, so that entries that all follow
// the same late reports do not swing together.
const othersMemory = 2 * time.Second

func (p *peer) report(o Report) {
	others := float64(max(o.InFlight+o.Queued-p.own, 0))
	step := 1.0
	if !p.at.IsZero() {
		step = min(o.At.Sub(p.at).Seconds()/othersMemory.Seconds(), 1)
	}
	p.others += step * (others - p.others)
	p.inFlight = o.InFlight
	p.queued = o.Queued
	p.limit = o.Limit
	p.queueDelay = o.QueueDelay
	p.at = o.At
}

// Remove forgets a life that died or left, and refuses its later reports.
func (r *Router) Remove(now time.Time, v fleet.Life) {
	l := r.life(now, v)
	if l == nil {
		return
	}
	r.clear(l)
	l.gone = true
	l.goneAt = now
	r.sweep(now)
}

// life returns the life to which v belongs, new where v is the first or a
// later one, and nil where v is over.
func (r *Router) life(now time.Time, v fleet.Life) *life {
	l, ok := r.lives[v.ID]
	switch {
	case !ok:
	case v.Incarnation < l.incarnation:
		return nil
	case v.Incarnation == l.incarnation && l.gone:
		return nil
	case v.Incarnation == l.incarnation:
		return l
	default:
		r.clear(l)
		l.gone = true
		l.goneAt = now
	}
	if r.lives == nil {
		r.lives = map[fleet.ID]*life{}
	}
	l = &life{incarnation: v.Incarnation}
	r.lives[v.ID] = l
	return l
}

func (r *Router) clear(l *life) {
	for _, e := range l.peers {
		r.pools[e.kind].drop(e)
	}
	l.peers = nil
}

func (r *Router) leave(now time.Time, l *life) {
	l.leaving = true
	for _, e := range l.peers {
		r.pools[e.kind].settle(now, e)
	}
}

func (r *Router) join(l *life, o Report) *peer {
	t := tierOf(r.Place.Distance(o.Place))
	e := &peer{
		id:    o.Agent.ID,
		kind:  o.Kind,
		place: o.Place,
		life:  l,
		path:  r.path(o.Place, t),
		tier:  t,
	}
	l.peers = append(l.peers, e)
	r.pool(o.Kind).known++
	return e
}

func (r *Router) path(w fleet.Place, t tier) *path {
	k := site{region: w.Region, dataCentre: w.DataCentre}
	p, ok := r.paths[k]
	if ok {
		return p
	}
	if r.paths == nil {
		r.paths = map[site]*path{}
	}
	p = &path{travel: travelOf(t)}
	r.paths[k] = p
	return p
}

// sweep forgets gone lives, once in each goneMemory.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.swept) < goneMemory {
		return
	}
	r.swept = now
	for id, l := range r.lives {
		if l.gone && now.Sub(l.goneAt) >= goneMemory {
			delete(r.lives, id)
		}
	}
}

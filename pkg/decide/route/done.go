package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// refusalMin is how long an agent is avoided after a refusal that names no time.
const refusalMin = 20 * time.Millisecond

// answerStep is how fast the expected size of answers follows the measured one.
const answerStep = 0.1

// Done takes how c ended. It is called once for each Choice; a choice of an
// older or gone life only settles the link budget.
func (r *Router) Done(now time.Time, c Choice, o Result) {
	p, ok := r.pools[c.Kind]
	if !ok {
		return
	}
	if c.OtherRegion {
		p.crossed(now, c, o)
	}
	if e := r.current(c); e != nil {
		e.own--
		p.learn(now, e, o)
		p.settle(now, e)
	}
	if o.HasLoad {
		r.Observe(now, o.Load)
	}
}

func (r *Router) current(c Choice) *peer {
	l, ok := r.lives[c.Agent.ID]
	if !ok || l.gone || l.incarnation != c.Agent.Incarnation {
		return nil
	}
	return l.peer(c.Kind)
}

// crossed charges what the reservation did not cover. It gives nothing back.
func (p *pool) crossed(now time.Time, c Choice, o Result) {
	if o.LinkBytes > c.ReservedBytes {
		p.link.charge(now, o.LinkBytes-c.ReservedBytes)
	}
	if o.Status == StatusAnswered {
		p.answer += fleet.Bytes(answerStep * float64(max(o.LinkBytes-c.Size, 0)-p.answer))
	}
}

// need returns what a request of size takes from the link budget: the expected
// answer too, as far as the budget can ever hold both.
func (p *pool) need(size fleet.Bytes) fleet.Bytes {
	return max(size, min(size+p.answer, fleet.Bytes(p.link.burst())))
}

// learn takes how a choice of e ended. What was in flight when a pause began
// neither makes the pause longer nor ends a trial.
func (p *pool) learn(now time.Time, e *peer, o Result) {
	switch o.Status {
	case StatusAnswered:
		p.answered(now, e, o)
	case StatusRefused:
		e.pause(now, max(o.RetryAfter, refusalMin))
	case StatusFailed:
		if e.until.After(now) {
			return
		}
		e.health.failed(now)
		if e.health.trial || e.health.failing > ejectFailing {
			p.eject(now, e)
		}
	}
}

func (p *pool) answered(now time.Time, e *peer, o Result) {
	if o.NetworkRTT > 0 {
		e.path.travel = blend(e.path.travel, o.NetworkRTT/2, travelStep)
	}
	s := max(o.Latency-2*e.path.travel, 0)
	e.health.answered(s)
	if e.until.After(now) {
		return
	}
	if e.health.trial {
		p.try(now, e, s)
		return
	}
	if p.service == 0 {
		p.service = s
	}
	p.service = blend(p.service, s, kindStep)
	if e.health.slow(p.service) {
		p.eject(now, e)
		return
	}
	e.health.calm()
}

// try ends the trial of e, unless the answer was slow again.
func (p *pool) try(now time.Time, e *peer, s time.Duration) {
	if s > ejectSlower*p.service && s > p.service+ejectMargin {
		p.eject(now, e)
		return
	}
	e.health.pass()
	p.ejected--
}

// eject pauses e, unless too many of the kind are ejected already.
func (p *pool) eject(now time.Time, e *peer) {
	if !e.health.trial {
		if !p.mayEject() {
			return
		}
		p.ejected++
	}
	e.pause(now, e.health.eject())
}

func (e *peer) pause(now time.Time, d time.Duration) {
	if t := now.Add(d); t.After(e.until) {
		e.until = t
	}
}

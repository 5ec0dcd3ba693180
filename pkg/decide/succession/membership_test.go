package succession_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

func init() { _ = flag.Set("rapid.seed", "7") }

// lease is how long after its grant a lease has ended.
const lease = 4500 * time.Millisecond

// All times are in milliseconds of the process's clock.
func TestHostWait(t *testing.T) {
	const ms = time.Millisecond
	brief, long := succession.MinHostWait(lease), 11300*ms
	welcome := func(m *succession.Membership) { m.Welcome(1000*ms, 7, 0) }
	for name, c := range map[string]struct {
		events []func(*succession.Membership)
		at     time.Duration
		want   succession.HostWait
	}{
		"leader unknown":  {nil, 0, succession.HostWait{Earlier: long, Previous: long}},
		"never answered":  {[]func(*succession.Membership){welcome}, 2000 * ms, succession.HostWait{Previous: long}},
		"answered lately": {[]func(*succession.Membership){welcome, func(m *succession.Membership) { m.Answered(1500*ms, 1400*ms, 0) }}, 4000 * ms, succession.HostWait{Previous: brief}},
		"answered long ago": {
			[]func(*succession.Membership){welcome, func(m *succession.Membership) { m.Answered(1500*ms, 1400*ms, 0) }},
			5000 * ms, succession.HostWait{Previous: long},
		},
		"leader of another term": {
			[]func(*succession.Membership){
				func(m *succession.Membership) { m.Welcome(1000*ms, 6, 0) },
				func(m *succession.Membership) { m.Answered(1500*ms, 1400*ms, 0) },
			},
			2000 * ms, succession.HostWait{Earlier: long, Previous: long},
		},
		"notified of an outage": {
			[]func(*succession.Membership){welcome, func(m *succession.Membership) { m.Answered(1500*ms, 1400*ms, 700*ms) }},
			3000 * ms, succession.HostWait{Previous: 1500*ms - 700*ms + 8000*ms - 3000*ms + lease},
		},
		"notified of an outage that is over": {
			[]func(*succession.Membership){
				welcome, func(m *succession.Membership) { m.Answered(1500*ms, 1400*ms, 700*ms) },
				func(m *succession.Membership) { m.Answered(2000*ms, 1900*ms, 0) },
			},
			3000 * ms, succession.HostWait{Previous: brief},
		},
		"leases of earlier terms": {
			[]func(*succession.Membership){
				func(m *succession.Membership) { m.Welcome(1000*ms, 7, 9000*ms) },
				func(m *succession.Membership) { m.Answered(1500*ms, 1400*ms, 0) },
			},
			2000 * ms, succession.HostWait{Earlier: 8000 * ms, Previous: brief},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var m succession.Membership
			for _, e := range c.events {
				e(&m)
			}
			NewWithT(t).Expect(m.HostWait(c.at, 7, lease)).To(Equal(c.want))
		})
	}
}

// replay is a leader with two other processes, over links that lose or delay messages and a store
// that may answer some of them only.
type replay struct {
	t       *rapid.T
	now     time.Duration
	answers time.Duration // of the store to the leader
	members succession.Members
	procs   [2]replayProcess
	// lastGrant is when the leader last renewed a lease.
	lastGrant time.Duration
}

type replayProcess struct {
	name        string
	incarnation int64
	membership  succession.Membership
	echo        time.Duration
	linkUp      bool
	// later is set once the process knows of a later term.
	later bool
	// pings and pongs are under way.
	pings, pongs []replayMessage
}

type replayMessage struct{ arrives, sent, stamp, echo, outageAge time.Duration }

const replayStep = 100 * time.Millisecond

func at(d time.Duration) time.Time { return now.Add(d) }

func (r *replay) evidence() succession.TermEvidence {
	return succession.TermEvidence{LastAnswer: at(r.answers), OtherAnswers: func(func(time.Time) bool) {}, Members: r.members.All()}
}

// steps exchanges the messages of a time. A link delays messages, and loses them while it is down.
func (r *replay) steps(n int) {
	for range n {
		r.now += replayStep
		for i := range r.procs {
			r.exchange(&r.procs[i])
		}
		r.members.Expire(at(r.answers))
		if r.evidence().MayRenew(at(r.now)) {
			r.lastGrant = r.now
		}
	}
}

func (r *replay) exchange(p *replayProcess) {
	if r.now%(5*replayStep) == 0 {
		r.send(p, &p.pings, replayMessage{sent: r.now, echo: p.echo})
	}
	for _, x := range due(&p.pings, r.now) {
		if x.echo > 0 {
			r.members.Echoed(at(x.echo), p.name, p.incarnation)
		}
		e := r.evidence()
		if e.MayRenew(at(r.now)) {
			r.members.Answered(at(r.now), p.name, p.incarnation)
			r.send(p, &p.pongs, replayMessage{sent: x.sent, stamp: r.now, outageAge: e.OutageAge(at(r.now))})
		}
	}
	for _, x := range due(&p.pongs, r.now) {
		p.echo = x.stamp
		if p.membership.Answered(r.now, x.sent, x.outageAge) {
			r.send(p, &p.pings, replayMessage{sent: r.now, echo: p.echo})
		}
	}
}

func (r *replay) send(p *replayProcess, to *[]replayMessage, x replayMessage) {
	if !p.linkUp || p.later {
		return
	}
	x.arrives = r.now + time.Duration(rapid.SampledFrom([]int{0, 1, 1, 3, 12}).Draw(r.t, "delay"))*replayStep
	if n := len(*to); n > 0 {
		x.arrives = max(x.arrives, (*to)[n-1].arrives)
	}
	*to = append(*to, x)
}

// due removes and returns the messages that have arrived.
func due(q *[]replayMessage, now time.Duration) (out []replayMessage) {
	for len(*q) > 0 && (*q)[0].arrives <= now {
		out = append(out, (*q)[0])
		*q = (*q)[1:]
	}
	return out
}

// restart replaces a process by a new incarnation, which joins the leader if it's in touch.
func (r *replay) restart(p *replayProcess) {
	*p = replayProcess{name: p.name, incarnation: p.incarnation + 1, linkUp: p.linkUp}
	if p.linkUp {
		p.membership.Welcome(r.now, 7, 0)
		r.members.Joined(at(r.now), at(r.answers), p.name, p.incarnation)
	}
}

// lead begins a term of a process, of which the leader learns nothing, and returns when it has waited for all hosts.
func (r *replay) lead(p *replayProcess, previous int64) time.Duration {
	w := p.membership.HostWait(r.now, previous, lease)
	p.later = true
	return r.now + max(w.Previous, w.Earlier)
}

// However the store and the links fail, a leader that is replaced without noticing renews no lease
// that outlasts the wait of the next leader or of the one after it, though any process may reach the store
// before it, and may restart.
func TestNextLeaderWaitsForAllRenewals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replay{t: t}
		for i := range r.procs {
			r.procs[i] = replayProcess{name: string(rune('a' + i)), linkUp: true}
			r.procs[i].membership.Welcome(0, 7, 0)
		}
		storeUp := true
		for range 60 {
			for range rapid.IntRange(1, 10).Draw(t, "steps") {
				if storeUp && r.now%(3*replayStep) == 0 {
					r.answers = r.now
				}
				r.steps(1)
			}
			p := &r.procs[rapid.IntRange(0, 1).Draw(t, "process")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				storeUp = !storeUp
			case 1, 2:
				p.linkUp = !p.linkUp
			case 3:
				r.restart(p)
			case 4:
				if r.now-r.answers < succession.LeaderLeaseTTL {
					continue
				}
				end := r.lead(p, 7)
				if rapid.Bool().Draw(t, "another term") {
					other := &r.procs[0]
					if p == other {
						other = &r.procs[1]
					}
					r.steps(rapid.IntRange(0, 30).Draw(t, "steps"))
					if rapid.Bool().Draw(t, "joins") {
						other.later = true
						other.membership.Welcome(r.now, 8, max(end-r.now, 0))
						other.membership.Answered(r.now, r.now, 0)
						r.steps(rapid.IntRange(0, 40).Draw(t, "steps"))
					}
					r.restart(p)
					r.steps(rapid.IntRange(0, 10).Draw(t, "steps"))
					end = r.lead(other, 8)
				}
				r.steps(130)
				if r.lastGrant+lease > end {
					t.Fatalf("the last lease was granted at %v, the next leader waits until %v", r.lastGrant, end)
				}
				return
			}
		}
	})
}

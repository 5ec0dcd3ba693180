package gossip

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
)

// A memberActor is the actor that runs the membership state machine.
type memberActor struct {
	gossip   *Gossip
	machine  member.Machine
	sealer   sealer
	counters counters
	failed   chan<- error
	timer    *time.Timer
	timerAt  time.Time
	actions  []member.Action
}

func newMemberActor(g *Gossip, failed chan<- error) *memberActor {
	return &memberActor{
		gossip:   g,
		machine:  member.Machine{Random: newRandom()},
		sealer:   sealer{source: g.Keys},
		counters: newCounters(g.Registry),
		failed:   failed,
	}
}

// Receive handles one message of the actor.
func (p *memberActor) Receive(c actor.Context) {
	switch e := c.Message().(type) {
	case *actor.Started:
		p.start(c)
	case *actor.Stopping:
		p.timer.Stop()
	case member.Event:
		p.step(e)
	}
}

// start creates the timer, which is then only reset, and starts the state machine.
func (p *memberActor) start(c actor.Context) {
	root, self := c.ActorSystem().Root, c.Self()
	p.timer = time.AfterFunc(time.Hour, func() { root.Send(self, member.Tick{}) })
	p.step(member.Start{Self: p.gossip.Self, Seeds: p.gossip.Seeds})
	p.publishView()
}

// step applies e to the state machine, executes the resulting actions and sets the timer. It
// publishes the view before the callbacks run, so that they see the change.
func (p *memberActor) step(e member.Event) {
	now := time.Now()
	p.actions = p.machine.Step(now, e, p.actions[:0])
	changed := false
	for _, a := range p.actions {
		switch a.(type) {
		case member.Changed, member.SummaryChanged:
			changed = true
		}
	}
	if changed {
		p.publishView()
	}
	for _, a := range p.actions {
		p.execute(a)
	}
	p.resetTimer(now)
}

// execute carries out one action.
func (p *memberActor) execute(a member.Action) {
	g := p.gossip
	switch a := a.(type) {
	case member.Send:
		p.send(a)
	case member.Changed:
		if g.OnMemberChanged != nil {
			g.OnMemberChanged(a.Info, a.State)
		}
	case member.RevisionSeen:
		if g.OnRevisionSeen != nil {
			g.OnRevisionSeen(a.Revision, a.From, a.Token)
		}
	case member.SummaryChanged:
		if g.OnSummaryChanged != nil {
			g.OnSummaryChanged(a.Summary)
		}
	case member.Superseded:
		p.fail(ErrSuperseded)
	}
}

// fail reports err to Run. Once enough errors are pending, further ones are discarded.
func (p *memberActor) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// send seals and writes one message. A message that cannot be sealed or written counts as
// dropped.
func (p *memberActor) send(a member.Send) {
	b, err := p.sealer.seal(&a.Message)
	if err == nil {
		err = p.gossip.Transport.WriteTo(b, a.To)
	}
	if err != nil {
		p.counters.dropped.Inc(1)
		return
	}
	p.counters.sent.Inc(int64(len(b)))
}

// resetTimer sets the timer to the machine's wake time, if there is one and the timer isn't
// already pending for it.
func (p *memberActor) resetTimer(now time.Time) {
	w, ok := p.machine.Wake()
	if !ok || w.Equal(p.timerAt) && w.After(now) {
		return
	}
	p.timerAt = w
	p.timer.Reset(max(time.Millisecond, w.Sub(now)))
}

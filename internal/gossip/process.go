package gossip

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
)

// A process is the actor that holds the machine.
type process struct {
	gossip  *Gossip
	machine member.Machine
	sealer  sealer
	counts  counters
	failed  chan<- error
	timer   *time.Timer
	wake    time.Time
	out     []member.Action
}

func newProcess(g *Gossip, failed chan<- error) *process {
	return &process{
		gossip:  g,
		machine: member.Machine{Random: random()},
		sealer:  sealer{source: g.Keys},
		counts:  newCounters(g.Registry),
		failed:  failed,
	}
}

// Receive handles one message of the actor.
func (p *process) Receive(c actor.Context) {
	switch e := c.Message().(type) {
	case *actor.Started:
		p.start(c)
	case *actor.Stopping:
		p.timer.Stop()
	case member.Event:
		p.step(e)
	}
}

func (p *process) start(c actor.Context) {
	root, self := c.ActorSystem().Root, c.Self()
	p.timer = time.AfterFunc(time.Hour, func() { root.Send(self, member.Tick{}) })
	p.step(member.Start{Self: p.gossip.Self, Seeds: p.gossip.Seeds})
	p.publish()
}

// step applies e, carries the actions out and sets the timer.
func (p *process) step(e member.Event) {
	now := time.Now()
	p.out = p.machine.Step(now, e, p.out[:0])
	changed := false
	for _, a := range p.out {
		switch a.(type) {
		case member.Changed, member.SummaryChanged:
			changed = true
		}
	}
	if changed {
		p.publish()
	}
	for _, a := range p.out {
		p.act(a)
	}
	p.reset(now)
}

func (p *process) act(a member.Action) {
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

func (p *process) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// send seals and writes one message; a packet that cannot be written counts as lost.
func (p *process) send(a member.Send) {
	b, err := p.sealer.seal(&a.Message)
	if err == nil {
		err = p.gossip.Transport.WriteTo(b, a.To)
	}
	if err != nil {
		p.counts.dropped.Inc(1)
		return
	}
	p.counts.sent.Inc(int64(len(b)))
}

// reset sets the timer where the machine wants another time than before.
func (p *process) reset(now time.Time) {
	w, ok := p.machine.Wake()
	if !ok || w.Equal(p.wake) && w.After(now) {
		return
	}
	p.wake = w
	p.timer.Reset(max(time.Millisecond, w.Sub(now)))
}

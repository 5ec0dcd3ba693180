package dispatch

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

const (
	// handOverEvery is how often a better suited scheduler is looked for; one shows itself over seconds.
	handOverEvery = time.Second
	// heirLead is how much earlier than the term is given up the heir is told.
	heirLead = 50 * time.Millisecond
)

// process describes a session to the succession.
func (s *session) process(now time.Time) succession.Process {
	p := succession.Process{Name: s.hello.Node, Cores: s.hello.Cores, LinkMbps: s.hello.LinkMbps, Host: s.hello.Host, Answer: s.hello.StoreAnswer}
	if s.fence != 0 && now.Sub(s.contact) < contactEvery {
		p.Since = s.inTouch
	}
	return p
}

// others describes all sessions but this process's own.
func (d *Dispatcher) others(now time.Time) []succession.Process {
	var ps []succession.Process
	for name, s := range d.sessions {
		if name != d.Node {
			ps = append(ps, s.process(now))
		}
	}
	return ps
}

// tenure describes the term.
func (d *Dispatcher) tenure() succession.Tenure {
	return succession.Tenure{
		Answered: d.Term.LastContact(),
		Others: func(yield func(time.Time) bool) {
			for name, s := range d.sessions {
				if name != d.Node && !s.contact.IsZero() && !yield(s.contact) {
					return
				}
			}
		},
		Lost: func(yield func(time.Time) bool) {
			for name, at := range d.lastHeard {
				if name != d.Node && !yield(at) {
					return
				}
			}
		},
	}
}

// Resign gives the term up for a process that ends, and names its heir first.
func (d *Dispatcher) Resign(ctx context.Context) {
	named := make(chan bool, 1)
	if d.post(func(now time.Time) {
		h, ok := succession.Heir(now, d.others(now))
		if ok {
			d.offer(h, "this process ends")
		}
		named <- ok
	}) {
		select {
		case ok := <-named:
			if ok {
				d.awaitHeir()
			}
		case <-d.Term.Lost():
		}
	}
	d.Term.Resign(ctx)
}

// awaitHeir gives the heir time to hear of it; false where the term ended meanwhile.
func (d *Dispatcher) awaitHeir() bool {
	select {
	case <-d.Term.Lost():
		return false
	case <-time.After(heirLead):
		return true
	}
}

func (d *Dispatcher) offer(h succession.Process, why string) {
	d.Log.Event(eventlog.LeadOffered).Str("peer", h.Name).Float64("cores", h.Cores).Float64("linkMbps", h.LinkMbps).Str("why", why).
		Int64("epoch", int64(d.Term.Epoch)).Msg("")
	d.send(h.Name, link.Message{Yield: &link.Yield{Epoch: int64(d.Term.Epoch)}})
}

// handOver hands the term over where a much better suited process is in touch and the store is reached.
func (d *Dispatcher) handOver(now time.Time) {
	own := d.sessions[d.Node]
	if own == nil {
		return
	}
	self, others := own.process(now), d.others(now)
	d.strongest = succession.Strongest(append(others, self))
	if !d.plan.Settled() || now.Sub(d.Term.LastContact()) > succession.Fresh {
		return
	}
	h, ok := succession.Successor(now, self, others)
	if !ok {
		return
	}
	d.offer(h, "better suited")
	d.stopped.Go(func() {
		if !d.awaitHeir() {
			return
		}
		c, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), storeCall)
		defer cancel()
		d.Term.Resign(c)
	})
}

package dispatch

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

const (
	// handoverCheckInterval is how often the dispatcher checks for a better suited process;
	// one qualifies only after seconds of contact.
	handoverCheckInterval = time.Second
	// successorNotice is how long before the end of the term the successor is notified.
	successorNotice = 50 * time.Millisecond
)

// successionProcess describes the node of the session for the choice of a successor.
func (s *session) successionProcess(now time.Time) succession.Process {
	p := succession.Process{Name: s.hello.Node, Cores: s.hello.Cores, LinkMbps: s.hello.LinkMbps, Host: s.hello.Host, StoreLatency: s.hello.StoreLatency}
	if s.fence != 0 && now.Sub(s.storeContact) < maxStoreContactAge {
		p.ConnectedSince = s.storeContactSince
	}
	return p
}

// otherProcesses describes the nodes of all sessions except this process.
func (d *Dispatcher) otherProcesses(now time.Time) []succession.Process {
	var ps []succession.Process
	for name, s := range d.sessions {
		if name != d.Node {
			ps = append(ps, s.successionProcess(now))
		}
	}
	return ps
}

// termEvidence returns the times by which succession decides what may still be done in the term.
func (d *Dispatcher) termEvidence() succession.TermEvidence {
	return succession.TermEvidence{
		LastAnswer: d.Term.LastContact(),
		OtherAnswers: func(yield func(time.Time) bool) {
			for name, s := range d.sessions {
				if name != d.Node && !s.storeContact.IsZero() && !yield(s.storeContact) {
					return
				}
			}
		},
		Members: d.members.All(),
	}
}

// Resign ends the term when the process shuts down. It notifies the successor
// first, if there is one.
func (d *Dispatcher) Resign(ctx context.Context) {
	notified := make(chan bool, 1)
	if d.post(func(now time.Time) {
		h, ok := succession.Successor(now, d.otherProcesses(now))
		if ok {
			d.offerLeadership(h, "this process ends")
		}
		notified <- ok
	}) {
		select {
		case ok := <-notified:
			if ok {
				d.awaitSuccessor()
			}
		case <-d.Term.Lost():
		}
	}
	d.Term.Resign(ctx)
}

// awaitSuccessor waits for successorNotice, so that the notification reaches the
// successor; false if the term ended meanwhile.
func (d *Dispatcher) awaitSuccessor() bool {
	select {
	case <-d.Term.Lost():
		return false
	case <-time.After(successorNotice):
		return true
	}
}

// offerLeadership notifies h that the term is about to end and that it should take over.
func (d *Dispatcher) offerLeadership(h succession.Process, reason string) {
	d.Log.Event(eventlog.LeadershipOffered).Str("peer", h.Name).Float64("cores", h.Cores).Float64("linkMbps", h.LinkMbps).Str("why", reason).
		Int64("epoch", int64(d.Term.Epoch)).Msg("")
	d.send(h.Name, link.Message{TakeOver: &link.TakeOver{Epoch: int64(d.Term.Epoch)}})
}

// tryHandOver hands the leadership over if a much better suited process is
// connected and the store answered lately.
func (d *Dispatcher) tryHandOver(now time.Time) {
	own := d.sessions[d.Node]
	if own == nil {
		return
	}
	self, others := own.successionProcess(now), d.otherProcesses(now)
	d.strongest = succession.Strongest(append(others, self))
	if !d.scheduler.Recovered() || now.Sub(d.Term.LastContact()) > succession.LeaderLeaseTTL {
		return
	}
	h, ok := succession.HandoverCandidate(now, self, others)
	if !ok {
		return
	}
	d.offerLeadership(h, "better suited")
	d.background.Go(func() {
		if !d.awaitSuccessor() {
			return
		}
		c, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), storeCallTimeout)
		defer cancel()
		d.Term.Resign(c)
	})
}

package message

import (
	"net/netip"
	"time"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The operations between shard owners and agents.
const (
	// OperationOrder sends an Order of a shard's owner to an agent.
	OperationOrder peer.Operation = "task.order"
	// OperationReport sends an AgentReport to a shard's owner.
	OperationReport peer.Operation = "task.tell"
)

// An Attempt identifies one attempt of a task on a host. Final, Checkpoint and Reason mean the
// same as in task.HeldAttempt.
type Attempt struct {
	Task       task.ID         `cbor:"1,keyasint"`
	Number     task.Attempt    `cbor:"2,keyasint"`
	Final      task.AnswerKind `cbor:"3,keyasint,omitempty"`
	Checkpoint task.Checkpoint `cbor:"4,keyasint,omitempty"`
	Reason     string          `cbor:"5,keyasint,omitempty"`
}

// An OrderVerb is what an Order asks for.
type OrderVerb uint8

// The verbs of orders.
const (
	OrderStart OrderVerb = iota + 1
	OrderStop
	OrderEvict
	OrderAck
	// OrderReportAttempts asks for an AgentReport that lists all attempts of the shard.
	OrderReportAttempts
	// OrderGrantLease grants a lease of LeaseDuration from ReportSentAt.
	OrderGrantLease
)

// An Order is one order of a shard's owner.
type Order struct {
	Shard host.Shard `cbor:"1,keyasint"`
	Epoch task.Epoch `cbor:"2,keyasint"`
	// Owner is the address that answers are sent to.
	Owner netip.AddrPort `cbor:"3,keyasint"`
	Verb  OrderVerb      `cbor:"4,keyasint"`
	// Attempts is the one attempt that the order is about, or those that are granted a lease.
	Attempts []Attempt `cbor:"5,keyasint,omitempty"`
	// Agent and Worker are the incarnations that an OrderStart is meant for.
	Agent  fleet.ProcessIncarnation `cbor:"6,keyasint,omitempty"`
	Worker fleet.Incarnation        `cbor:"7,keyasint,omitempty"`
	Spec   *task.Spec               `cbor:"8,keyasint,omitempty"`
	// ReportSentAt echoes the SentAt of the report that asked for the lease.
	ReportSentAt  time.Duration `cbor:"9,keyasint,omitempty"`
	LeaseDuration time.Duration `cbor:"10,keyasint,omitempty"`
}

// An AgentReport is what an agent reports to a shard's owner: the answer on one attempt, the
// list of all attempts it holds, or the host's capacity.
type AgentReport struct {
	Shard  host.Shard               `cbor:"1,keyasint"`
	Agent  fleet.ProcessIncarnation `cbor:"2,keyasint"`
	Worker fleet.Incarnation        `cbor:"3,keyasint"`
	Epoch  task.Epoch               `cbor:"4,keyasint"`
	// SentAt is the time of sending, as the time since the agent's start on its monotonic clock.
	SentAt time.Duration `cbor:"5,keyasint"`
	// Kind is the kind of the answer on the only attempt; 0 if the report is a list.
	Kind     task.AnswerKind `cbor:"6,keyasint,omitempty"`
	Attempts []Attempt       `cbor:"7,keyasint,omitempty"`
	// Capacity is set if the report is about the host's capacity.
	Capacity *place.Host `cbor:"8,keyasint,omitempty"`
	// Address is the address that orders are sent to.
	Address netip.AddrPort `cbor:"9,keyasint"`
}

// Empty is the message of operations whose request or answer has no content.
type Empty struct{}

// NewOrder returns the order for an action and the agent to send it to. It reports false for
// an action that isn't an order to an agent.
func NewOrder(a task.Action) (to fleet.ID, o Order, ok bool) {
	one := func(id task.ID, n task.Attempt) []Attempt { return []Attempt{{Task: id, Number: n}} }
	switch a := a.(type) {
	case task.Start:
		o = Order{Epoch: a.Epoch, Verb: OrderStart, Attempts: one(a.Task, a.Attempt), Agent: a.Agent, Worker: a.Worker, Spec: a.Spec}
		o.Attempts[0].Checkpoint = a.Checkpoint
		return a.Agent.ID, o, true
	case task.Stop:
		return a.Agent, Order{Epoch: a.Epoch, Verb: OrderStop, Attempts: one(a.Task, a.Attempt)}, true
	case task.Evict:
		return a.Agent, Order{Epoch: a.Epoch, Verb: OrderEvict, Attempts: one(a.Task, a.Attempt)}, true
	case task.Ack:
		return a.Agent, Order{Epoch: a.Epoch, Verb: OrderAck, Attempts: one(a.Task, a.Attempt)}, true
	case task.PollAgent:
		return a.Agent, Order{Epoch: a.Epoch, Verb: OrderReportAttempts}, true
	case task.GrantLease:
		o = Order{Epoch: a.Epoch, Verb: OrderGrantLease, ReportSentAt: fromTime(a.RequestedAt), LeaseDuration: a.Duration}
		for _, h := range a.Attempts {
			o.Attempts = append(o.Attempts, Attempt{Task: h.Task, Number: h.Attempt})
		}
		return a.Agent, o, true
	}
	return "", Order{}, false
}

// Event returns the order as an event of the agent's state machine, where base is the agent's
// start time. It reports false for an invalid order.
func (o Order) Event(base time.Time) (host.Event, bool) {
	e := host.Order{Shard: o.Shard, Epoch: o.Epoch}
	if o.Verb == OrderReportAttempts {
		e.Action = task.PollAgent{Epoch: o.Epoch}
		return e, true
	}
	if o.Verb == OrderGrantLease {
		g := task.GrantLease{Epoch: o.Epoch, RequestedAt: base.Add(o.ReportSentAt), Duration: o.LeaseDuration}
		for _, a := range o.Attempts {
			g.Attempts = append(g.Attempts, task.HeldAttempt{Task: a.Task, Attempt: a.Number})
		}
		e.Action = g
		return e, true
	}
	if len(o.Attempts) != 1 {
		return nil, false
	}
	a := o.Attempts[0]
	switch o.Verb {
	case OrderStart:
		if o.Spec == nil || o.Spec.Check() != nil {
			return nil, false
		}
		e.Action = task.Start{Agent: o.Agent, Worker: o.Worker, Epoch: o.Epoch, Task: a.Task, Attempt: a.Number, Spec: o.Spec, Checkpoint: a.Checkpoint}
	case OrderStop:
		e.Action = task.Stop{Epoch: o.Epoch, Task: a.Task, Attempt: a.Number}
	case OrderEvict:
		e.Action = task.Evict{Epoch: o.Epoch, Task: a.Task, Attempt: a.Number}
	case OrderAck:
		e.Action = task.Ack{Epoch: o.Epoch, Task: a.Task, Attempt: a.Number}
	default:
		return nil, false
	}
	return e, true
}

// NewAgentReport returns the report for an action that answers on an attempt or renews leases,
// where base is the agent's start time. It reports false for any other action.
func NewAgentReport(a host.Action, base time.Time) (AgentReport, bool) {
	switch a := a.(type) {
	case host.AnswerOwner:
		t := reportHeader(a.Shard, a.Answer.Sender, base)
		t.Kind = a.Answer.Kind
		t.Attempts = []Attempt{{Task: a.Answer.Task, Number: a.Answer.Attempt, Checkpoint: a.Answer.Checkpoint, Reason: a.Answer.Reason}}
		return t, true
	case host.RequestLeases:
		t := reportHeader(a.Shard, a.Request.Sender, base)
		for _, h := range a.Request.Attempts {
			t.Attempts = append(t.Attempts, Attempt{Task: h.Task, Number: h.Attempt, Final: h.Final, Checkpoint: h.Checkpoint, Reason: h.Reason})
		}
		return t, true
	}
	return AgentReport{}, false
}

// reportHeader returns a report with the fields that all reports of an agent have.
func reportHeader(s host.Shard, f task.Sender, base time.Time) AgentReport {
	return AgentReport{Shard: s, Agent: f.Agent, Worker: f.Worker, Epoch: f.Epoch, SentAt: f.SentAt.Sub(base)}
}

// Event returns the report as an event of the owner's state machine. It reports false for an
// invalid report.
func (t AgentReport) Event() (task.Event, bool) {
	s := task.Sender{Agent: t.Agent, Worker: t.Worker, Epoch: t.Epoch, SentAt: toTime(t.SentAt)}
	if t.Capacity != nil {
		return task.HostUpdate{Host: *t.Capacity}, true
	}
	if t.Kind == 0 {
		l := task.LeaseRequest{Sender: s}
		for _, a := range t.Attempts {
			l.Attempts = append(l.Attempts, task.HeldAttempt{Task: a.Task, Attempt: a.Number, Final: a.Final, Checkpoint: a.Checkpoint, Reason: a.Reason})
		}
		return l, true
	}
	if len(t.Attempts) != 1 {
		return nil, false
	}
	a := t.Attempts[0]
	return task.Answer{Sender: s, Kind: t.Kind, Task: a.Task, Attempt: a.Number, Checkpoint: a.Checkpoint, Reason: a.Reason}, true
}

// toTime and fromTime convert an agent's times at the owner, which only compares them with
// each other and echoes them, so that any base will do.
func toTime(d time.Duration) time.Time { return time.Unix(0, int64(d)) }

func fromTime(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

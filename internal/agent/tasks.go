package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/runner"
	"github.com/sesamestream/sesamestream/internal/worker"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The bounds of what the agent sends for tasks.
const (
	tellTimeout    = 2 * time.Second
	commandTimeout = 5 * time.Second
)

// tasks keeps the attempts of one host. Its fields are set before Run.
type tasks struct {
	system *actor.ActorSystem
	life   fleet.ProcessIncarnation
	// started is the base of the times that leases count from.
	started time.Time
	lease   time.Duration
	node    *peer.Node
	// address is where owners reach this agent.
	address netip.AddrPort
	// owner finds the owner of a shard that has not given an order yet.
	owner func(context.Context, host.Shard) (netip.AddrPort, error)
	log   *log.Logger

	machine *host.Machine
	runner  *runner.Runner[host.Event, host.Action]
	client  *worker.Client

	mu     sync.Mutex
	owners map[host.Shard]netip.AddrPort
	// worker is where the worker takes commands, seen when it last announced itself.
	worker netip.AddrPort
	seen   time.Time
	// answer is set while an announcement waits for its answer; the actor alone writes it.
	answer *host.AnswerWorker
}

// Run keeps the attempts until ctx ends.
func (t *tasks) Run(ctx context.Context) error {
	tick := time.NewTicker(host.TickInterval)
	defer tick.Stop()
	defer t.runner.Stop()
	for {
		select {
		case <-tick.C:
			t.tick(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// start spawns the actor; announcements and orders may follow.
func (t *tasks) start() {
	t.client = worker.NewClient()
	t.owners = make(map[host.Shard]netip.AddrPort)
	t.machine = &host.Machine{Agent: t.life, Lease: t.lease}
	t.runner = &runner.Runner[host.Event, host.Action]{System: t.system, Machine: t.machine, Execute: t.carry}
	t.runner.Start()
}

func (t *tasks) tick(now time.Time) {
	t.mu.Lock()
	silent := !t.seen.IsZero() && now.Sub(t.seen) > worker.AnnounceTimeout
	t.mu.Unlock()
	if silent {
		t.runner.Send(host.WorkerUnresponsive{})
	}
	t.runner.Send(host.Tick{})
}

// carry runs in the actor and hands what blocks to goroutines.
func (t *tasks) carry(a host.Action) {
	switch a := a.(type) {
	case host.AnswerWorker:
		t.answer = &a
	case host.Command:
		go t.command(a)
	default:
		if m, ok := message.NewAgentReport(a, t.started); ok {
			m.Address = t.address
			go t.tell(m)
		}
	}
}

// tell sends one message to a shard's owner; what gets lost is told again by
// the next renewal.
func (t *tasks) tell(m message.AgentReport) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	to, err := t.ownerOf(ctx, m.Shard)
	if err == nil {
		_, err = peer.Call[message.AgentReport, message.Empty](ctx, t.node, to, message.OperationReport, m)
	}
	if err != nil {
		t.forgetOwner(m.Shard, to)
		t.log.Debug().Str("event", "tellFailed").Int("shard", int(m.Shard)).Err(err).Msg("")
	}
}

func (t *tasks) ownerOf(ctx context.Context, s host.Shard) (netip.AddrPort, error) {
	t.mu.Lock()
	to, ok := t.owners[s]
	t.mu.Unlock()
	if ok {
		return to, nil
	}
	to, err := t.owner(ctx, s)
	if err != nil {
		return to, err
	}
	t.mu.Lock()
	t.owners[s] = to
	t.mu.Unlock()
	return to, nil
}

func (t *tasks) forgetOwner(s host.Shard, to netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.owners[s] == to {
		delete(t.owners, s)
	}
}

// order takes an order of a shard's owner.
func (t *tasks) order(_ context.Context, o message.Order) (message.Empty, error) {
	e, ok := o.Event(t.started)
	if !ok {
		return message.Empty{}, errors.New("agent: malformed order")
	}
	t.mu.Lock()
	t.owners[o.Shard] = o.Owner
	t.mu.Unlock()
	t.runner.Send(e)
	return message.Empty{}, nil
}

// command carries out one command at the worker.
func (t *tasks) command(c host.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	t.mu.Lock()
	to := t.worker
	t.mu.Unlock()
	r := host.CommandResult{Command: c}
	var err error
	switch c.Verb {
	case host.StartAttempt:
		err = t.client.Start(ctx, to, t.startOf(c))
	case host.StopAttempt:
		var s worker.StopResult
		s, err = t.client.Stop(ctx, to, attemptOf(c.Key))
		r.State = states[s.State]
		r.Checkpoint = task.Checkpoint(s.Checkpoint)
		r.Reason = s.Reason
	case host.CheckpointAttempt:
		var saved string
		saved, err = t.client.Checkpoint(ctx, to, attemptOf(c.Key))
		r.Checkpoint = task.Checkpoint(saved)
	}
	r.Result = resultOf(err)
	if err != nil {
		r.Reason = err.Error()
	}
	t.runner.Send(r)
}

func (t *tasks) startOf(c host.Command) worker.Start {
	return worker.Start{
		Attempt:    attemptOf(c.Key),
		Kind:       c.Spec.Kind,
		Command:    string(c.Spec.Payload),
		Checkpoint: string(c.Checkpoint),
		Resources:  host.AtLeastOneSlot(c.Spec.Need),
		Lease:      c.Lease,
		Sent:       c.Sent,
		Agent:      t.life.Incarnation,
		Worker:     c.Worker,
	}
}

func resultOf(err error) host.Result {
	switch {
	case err == nil:
		return host.CarriedOut
	case errors.Is(err, worker.ErrRefused):
		return host.Refused
	case errors.Is(err, worker.ErrNotSent):
		return host.NotSent
	default:
		return host.OutcomeUnknown
	}
}

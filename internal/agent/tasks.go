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

// Timeouts of the agent's reports to owners and commands to the worker.
const (
	reportTimeout  = 2 * time.Second
	commandTimeout = 5 * time.Second
)

// A taskManager manages the task attempts on one host: it runs the host's state machine and connects
// it with the worker and the shard owners. The fields up to log are set before start.
type taskManager struct {
	system      *actor.ActorSystem
	incarnation fleet.ProcessIncarnation
	// started is the origin of the relative times in orders and reports.
	started time.Time
	lease   time.Duration
	node    *peer.Node
	// address is the address at which owners reach this agent.
	address netip.AddrPort
	// findOwner returns the address of a shard's owner; it is called while ownerAddresses has no entry.
	findOwner func(context.Context, host.Shard) (netip.AddrPort, error)
	log       *log.Logger

	machine      *host.Machine
	runner       *runner.Runner[host.Event, host.Action]
	workerClient *worker.Client

	mu             sync.Mutex
	ownerAddresses map[host.Shard]netip.AddrPort
	// workerAddress is the address at which the worker accepts commands.
	workerAddress    netip.AddrPort
	lastAnnouncement time.Time
	// lastAnswer is the answer to the newest announcement; only the actor accesses it.
	lastAnswer *host.AnswerWorker
}

// Run ticks the state machine until ctx ends, and then stops the actor.
func (t *taskManager) Run(ctx context.Context) error {
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

// start starts the actor, which accepts announcements and orders from then on.
func (t *taskManager) start() {
	t.workerClient = worker.NewClient()
	t.ownerAddresses = make(map[host.Shard]netip.AddrPort)
	t.machine = &host.Machine{Agent: t.incarnation, Lease: t.lease}
	t.runner = &runner.Runner[host.Event, host.Action]{System: t.system, Machine: t.machine, Execute: t.execute}
	t.runner.Start()
}

// tick sends a tick to the state machine, and before it the loss of the worker if the last
// announcement is too old.
func (t *taskManager) tick(now time.Time) {
	t.mu.Lock()
	unresponsive := !t.lastAnnouncement.IsZero() && now.Sub(t.lastAnnouncement) > worker.AnnounceTimeout
	t.mu.Unlock()
	if unresponsive {
		t.runner.Send(host.WorkerUnresponsive{})
	}
	t.runner.Send(host.Tick{})
}

// execute executes an action of the state machine. It runs in the actor, so it starts a goroutine for
// each call that may block.
func (t *taskManager) execute(a host.Action) {
	switch a := a.(type) {
	case host.AnswerWorker:
		t.lastAnswer = &a
	case host.Command:
		go t.executeCommand(a)
	default:
		if m, ok := message.NewAgentReport(a, t.started); ok {
			m.Address = t.address
			go t.sendReport(m)
		}
	}
}

// sendReport sends one report to a shard's owner. The content of a lost report is sent again with the
// next lease renewal.
func (t *taskManager) sendReport(m message.AgentReport) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	to, err := t.ownerAddress(ctx, m.Shard)
	if err == nil {
		_, err = peer.Call[message.AgentReport, message.Empty](ctx, t.node, to, message.OperationReport, m)
	}
	if err != nil {
		t.invalidateOwner(m.Shard, to)
		t.log.Debug().Str("event", "tellFailed").Int("shard", int(m.Shard)).Err(err).Msg("")
	}
}

// ownerAddress returns the cached address of a shard's owner, or finds it.
func (t *taskManager) ownerAddress(ctx context.Context, s host.Shard) (netip.AddrPort, error) {
	t.mu.Lock()
	to, ok := t.ownerAddresses[s]
	t.mu.Unlock()
	if ok {
		return to, nil
	}
	to, err := t.findOwner(ctx, s)
	if err != nil {
		return to, err
	}
	t.mu.Lock()
	t.ownerAddresses[s] = to
	t.mu.Unlock()
	return to, nil
}

// invalidateOwner removes the address of a shard's owner from the cache, unless it has changed.
func (t *taskManager) invalidateOwner(s host.Shard, to netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ownerAddresses[s] == to {
		delete(t.ownerAddresses, s)
	}
}

// handleOrder processes an order of a shard's owner and caches the owner's address.
func (t *taskManager) handleOrder(_ context.Context, o message.Order) (message.Empty, error) {
	e, ok := o.Event(t.started)
	if !ok {
		return message.Empty{}, errors.New("agent: malformed order")
	}
	t.mu.Lock()
	t.ownerAddresses[o.Shard] = o.Owner
	t.mu.Unlock()
	t.runner.Send(e)
	return message.Empty{}, nil
}

// executeCommand sends one command to the worker and passes the result to the state machine.
func (t *taskManager) executeCommand(c host.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	t.mu.Lock()
	to := t.workerAddress
	t.mu.Unlock()
	r := host.CommandResult{Command: c}
	var err error
	switch c.Verb {
	case host.StartAttempt:
		err = t.workerClient.Start(ctx, to, t.startRequest(c))
	case host.StopAttempt:
		var s worker.StopResult
		s, err = t.workerClient.Stop(ctx, to, workerAttempt(c.Key))
		r.State = attemptStates[s.State]
		r.Checkpoint = task.Checkpoint(s.Checkpoint)
		r.Reason = s.Reason
	case host.CheckpointAttempt:
		var checkpoint string
		checkpoint, err = t.workerClient.Checkpoint(ctx, to, workerAttempt(c.Key))
		r.Checkpoint = task.Checkpoint(checkpoint)
	}
	r.Result = commandResult(err)
	if err != nil {
		r.Reason = err.Error()
	}
	t.runner.Send(r)
}

// startRequest returns the worker request for a start command.
func (t *taskManager) startRequest(c host.Command) worker.Start {
	return worker.Start{
		Attempt:    workerAttempt(c.Key),
		Kind:       c.Spec.Kind,
		Command:    string(c.Spec.Payload),
		Checkpoint: string(c.Checkpoint),
		Resources:  host.AtLeastOneSlot(c.Spec.Need),
		Lease:      c.Lease,
		Sent:       c.Sent,
		Agent:      t.incarnation.Incarnation,
		Worker:     c.Worker,
	}
}

// commandResult returns the result that a worker call's error stands for.
func commandResult(err error) host.Result {
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

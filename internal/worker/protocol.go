// Package worker speaks HTTP to the worker of a host: it announces itself to
// the agent, and the agent starts, throttles, checkpoints and stops tasks on it.
package worker

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// AnnounceInterval is how often a worker announces itself.
const AnnounceInterval = time.Second

// AnnounceTimeout is how long an agent trusts the last announcement.
const AnnounceTimeout = 3 * AnnounceInterval

// The paths of the protocol: PathWorkers at the agent, the others at the worker.
const (
	PathWorkers    = "/v1/workers"
	PathTasks      = "/v1/tasks"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathStop       = "/v1/stop"
)

// The errors of the protocol.
var (
	// ErrBadAnnouncement is returned for an announcement that cannot hold.
	ErrBadAnnouncement = errors.New("worker: bad announcement")
	// ErrNotSent is returned where it is proved that the worker received nothing.
	ErrNotSent = errors.New("worker: not sent")
	// ErrNoAnswer is returned where the worker may have received the command.
	ErrNoAnswer = errors.New("worker: no answer")
	// ErrRefused is returned where the worker refused the command.
	ErrRefused = errors.New("worker: refused")
)

// An Attempt names one run of a task.
type Attempt struct {
	Task   string `json:"task"`
	Number uint64 `json:"number"`
}

// A State is what a worker says of an attempt.
type State string

// The states of an attempt on its worker.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	// Stopped means it was stopped by command or its lease lapsed.
	Stopped State = "stopped"
)

// A Report is the state of one attempt; an attempt that is over is reported
// until the agent's answer names it among the acknowledged.
type Report struct {
	Attempt
	State State `json:"state"`
	// Reason says why it failed or stopped.
	Reason string `json:"reason,omitempty"`
	// Checkpoint refers to the last checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Usage is what the attempt used lately.
	Usage fleet.Resources `json:"usage"`
	// Kind and Resources are those of the start.
	Kind      fleet.Kind      `json:"kind"`
	Resources fleet.Resources `json:"resources"`
}

// An Announcement is what a worker says of itself and its attempts.
type Announcement struct {
	ID          string            `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Sequence counts the announcements of this incarnation.
	Sequence uint64 `json:"sequence"`
	// BoundAgent is the newest agent that has answered; the worker refuses the
	// starts of older ones.
	BoundAgent fleet.Incarnation `json:"bound"`
	Address    netip.AddrPort    `json:"address"`
	Resources  fleet.Resources   `json:"resources"`
	Attempts   []Report          `json:"attempts"`
}

// A Lease is how long an attempt may go on, counted from the moment the
// worker sent the announcement that this answers.
type Lease struct {
	Attempt
	Remaining time.Duration `json:"remaining"`
}

// An Answer is the agent's answer to an announcement.
type Answer struct {
	// Agent is the agent's incarnation, to which the worker is bound from now on.
	Agent  fleet.Incarnation `json:"agent"`
	Leases []Lease           `json:"leases"`
	// Acknowledged are the attempts that the worker may forget, those that were
	// stopped before their start among them.
	Acknowledged []Attempt `json:"acknowledged"`
}

// A Start asks for one attempt.
type Start struct {
	Attempt
	Kind fleet.Kind `json:"kind"`
	// Command is handed to the worker as it is.
	Command string `json:"command"`
	// Checkpoint is where to resume from, empty for the beginning.
	Checkpoint string          `json:"checkpoint,omitempty"`
	Resources  fleet.Resources `json:"resources"`
	// Lease counts from Sent; agent and worker read the same host's clock.
	Lease time.Duration `json:"lease"`
	Sent  time.Time     `json:"sent"`
	// Agent is the incarnation of the agent that asks.
	Agent fleet.Incarnation `json:"agent"`
	// Worker is the incarnation of the worker that is asked; others refuse.
	Worker fleet.Incarnation `json:"worker"`
}

// LeaseValid reports whether a lease that ends at until holds at now. It must hold
// by the wall clock and by the monotonic clock, which stands still while the
// host is suspended.
func LeaseValid(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// A StopResult is the answer to a stop: the attempt does not run, and it was
// stopped or had ended by itself.
type StopResult struct {
	State      State  `json:"state"`
	Reason     string `json:"reason,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// A Throttle sets the share of its processors that an attempt may use.
type Throttle struct {
	Attempt
	Share float64 `json:"share"`
}

// A CheckpointResult is the answer to a checkpoint command.
type CheckpointResult struct {
	Checkpoint string `json:"checkpoint"`
}

// Check returns ErrBadAnnouncement where a cannot hold.
func (a Announcement) Check() error {
	none := fleet.Resources{}
	switch {
	case a.ID == "" || len(a.ID) > 63:
		return errors.Wrap(ErrBadAnnouncement, "id must be 1 to 63 characters")
	case a.Incarnation == 0:
		return errors.Wrap(ErrBadAnnouncement, "incarnation must be above 0")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.Wrap(ErrBadAnnouncement, "address must be IP:port")
	case !none.Fits(a.Resources) || a.Resources.Slots == 0:
		return errors.Wrap(ErrBadAnnouncement, "resources must not be negative and slots must be above 0")
	}
	return nil
}

// Package worker is the HTTP protocol between an agent and the worker of its host:
// the worker announces itself to the agent, and the agent starts, throttles,
// checkpoints and stops tasks on it.
package worker

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// AnnounceInterval is the time between two announcements of a worker.
const AnnounceInterval = time.Second

// AnnounceTimeout is how long an announcement remains valid at the agent.
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
	// ErrBadAnnouncement is returned for an invalid announcement.
	ErrBadAnnouncement = errors.New("worker: invalid announcement")
	// ErrNotSent is returned where the worker cannot have received the command.
	ErrNotSent = errors.New("worker: not sent")
	// ErrNoAnswer is returned where the worker may have received the command.
	ErrNoAnswer = errors.New("worker: no answer")
	// ErrRefused is returned where the worker refused the command.
	ErrRefused = errors.New("worker: refused")
)

// An Attempt identifies one run of a task.
type Attempt struct {
	Task   string `json:"task"`
	Number uint64 `json:"number"`
}

// A State is the state of an attempt as its worker reports it.
type State string

// The states of an attempt on its worker.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	// Stopped means that the attempt was stopped by command or that its lease lapsed.
	Stopped State = "stopped"
)

// A Report is the state of one attempt. An attempt that has ended is reported
// until an answer of the agent acknowledges it.
type Report struct {
	Attempt
	State State `json:"state"`
	// Reason says why the attempt failed or stopped.
	Reason string `json:"reason,omitempty"`
	// Checkpoint refers to the last checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Usage is the recent resource usage of the attempt.
	Usage fleet.Resources `json:"usage"`
	// Kind and Resources are those of the Start command.
	Kind      fleet.Kind      `json:"kind"`
	Resources fleet.Resources `json:"resources"`
}

// An Announcement is the report of a worker on itself and its attempts.
type Announcement struct {
	ID          string            `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Sequence counts the announcements of this incarnation.
	Sequence uint64 `json:"sequence"`
	// BoundAgent is the newest agent incarnation that has answered; the worker
	// refuses starts from older ones.
	BoundAgent fleet.Incarnation `json:"bound"`
	Address    netip.AddrPort    `json:"address"`
	Resources  fleet.Resources   `json:"resources"`
	Attempts   []Report          `json:"attempts"`
}

// A Lease is how long an attempt may continue, counted from when the worker sent
// the announcement that the answer is for.
type Lease struct {
	Attempt
	Remaining time.Duration `json:"remaining"`
}

// An Answer is the agent's answer to an announcement.
type Answer struct {
	// Agent is the agent's incarnation; the worker refuses starts from older ones from now on.
	Agent  fleet.Incarnation `json:"agent"`
	Leases []Lease           `json:"leases"`
	// Acknowledged are the attempts that the worker may forget, including those
	// that were stopped before they started.
	Acknowledged []Attempt `json:"acknowledged"`
}

// A Start is the command to start one attempt.
type Start struct {
	Attempt
	Kind fleet.Kind `json:"kind"`
	// Command is passed to the worker unchanged.
	Command string `json:"command"`
	// Checkpoint refers to the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string          `json:"checkpoint,omitempty"`
	Resources  fleet.Resources `json:"resources"`
	// Lease counts from Sent; the agent and the worker share the clock of their host.
	Lease time.Duration `json:"lease"`
	Sent  time.Time     `json:"sent"`
	// Agent is the incarnation of the agent that sends the command.
	Agent fleet.Incarnation `json:"agent"`
	// Worker is the incarnation of the worker that the command is for; others refuse it.
	Worker fleet.Incarnation `json:"worker"`
}

// LeaseValid reports whether a lease that ends at until is valid at now. Both the
// wall clock and the monotonic clock must be before its end, as the monotonic
// clock stops while the host is suspended.
func LeaseValid(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// A StopResult is the answer to a stop command: the attempt does not run, because
// it was stopped or had already ended.
type StopResult struct {
	State      State  `json:"state"`
	Reason     string `json:"reason,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// A Throttle is the command to limit an attempt to a share of its processors.
type Throttle struct {
	Attempt
	Share float64 `json:"share"`
}

// A CheckpointResult is the answer to a checkpoint command.
type CheckpointResult struct {
	Checkpoint string `json:"checkpoint"`
}

// Check returns ErrBadAnnouncement where a is invalid.
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

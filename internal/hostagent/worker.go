package hostagent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// The errors of a worker.
var (
	// ErrNotSent is returned for an order that the worker can't have got.
	ErrNotSent = errors.New("hostagent: order not sent")
	// ErrNoAnswer is returned for an order that may be carried out, also later.
	ErrNoAnswer = errors.New("hostagent: no answer")
	// ErrOtherIncarnation is returned where another life of the worker answers, which did nothing.
	ErrOtherIncarnation = errors.New("hostagent: another life answers")
	// ErrNextIncarnation is returned where a later life under the same ID answers,
	// which may have carried the order out. It is an ErrOtherLife too.
	ErrNextIncarnation = errors.WithMessage(ErrOtherIncarnation, "hostagent: the order may have been carried out")
	// ErrUnhealthy is returned where the worker did nothing since it's unwell.
	ErrUnhealthy = errors.New("hostagent: worker is unhealthy")
	// ErrFenced is returned where a newer fence was seen.
	ErrFenced = errors.New("hostagent: fenced")
	// ErrOldRun is returned for a run that isn't newer than one that ended there.
	ErrOldRun = errors.New("hostagent: old run")
	// ErrLeaseExpired is returned for an order whose lease is over.
	ErrLeaseExpired = errors.New("hostagent: lease is over")
	// ErrNoCapacity is returned where the task doesn't fit.
	ErrNoCapacity = errors.New("hostagent: no room")
	// ErrNoTicket is returned where the policy's ticket isn't valid.
	ErrNoTicket = errors.New("hostagent: no valid ticket")
	// ErrRejected is returned for other refusals.
	ErrRejected = errors.New("hostagent: rejected")
)

// An Answer comes with every reply of a worker.
type Answer struct {
	// Clock is the worker's steady clock.
	Clock time.Duration
}

// A StartOrder starts a run.
type StartOrder struct {
	Task       batch.Task
	Number     int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseEnd ends the lease, in the worker's time.
	LeaseEnd time.Duration
	Fence    int64
}

// A HoldOrder renews the lease and asks for the lists.
type HoldOrder struct {
	Fence int64
	// AckedSeq is the number of the last end that the worker may forget.
	AckedSeq int64
	// LeaseEnd ends the lease, in the worker's time; 0 leaves it.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// RunLists is what a worker knows of its runs.
type RunLists struct {
	Running []batch.Run
	Ended   []batch.End
	// Malformed counts the rows that couldn't be read.
	Malformed int
}

// A Worker takes orders.
type Worker interface {
	Start(ctx context.Context, o StartOrder) (Answer, error)
	Stop(ctx context.Context, t batch.Task, run int, fence int64) (Answer, error)
	Pace(ctx context.Context, t batch.Task, run, percent int, fence int64) (Answer, error)
	Hold(ctx context.Context, o HoldOrder) (Answer, RunLists, error)
}

// A Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Worker batch.Worker
	// Seq rises with each heartbeat of a life.
	Seq   int64
	Clock time.Duration
}

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
	// ErrOtherLife is returned where another life of the worker answers, which did nothing.
	ErrOtherLife = errors.New("hostagent: another life answers")
	// ErrNextLife is returned where a later life under the same ID answers,
	// which may have carried the order out. It is an ErrOtherLife too.
	ErrNextLife = errors.WithMessage(ErrOtherLife, "hostagent: the order may have been carried out")
	// ErrUnhealthy is returned where the worker did nothing since it's unwell.
	ErrUnhealthy = errors.New("hostagent: worker is unhealthy")
	// ErrFenced is returned where a newer fence was seen.
	ErrFenced = errors.New("hostagent: fenced")
	// ErrOldRun is returned for a run that isn't newer than one that ended there.
	ErrOldRun = errors.New("hostagent: old run")
	// ErrLate is returned for an order whose lease is over.
	ErrLate = errors.New("hostagent: lease is over")
	// ErrNoRoom is returned where the task doesn't fit.
	ErrNoRoom = errors.New("hostagent: no room")
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
	Task   batch.Task
	Number int
	Spec   string
	Saved  string
	Ticket string
	// Until ends the lease, in the worker's time.
	Until time.Duration
	Fence int64
}

// A HoldOrder renews the lease and asks for the lists.
type HoldOrder struct {
	Fence int64
	// Noted is the number of the last end that the worker may forget.
	Noted int64
	// Until ends the lease, in the worker's time; 0 leaves it.
	Until time.Duration
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Lists is what a worker knows of its runs.
type Lists struct {
	Running []batch.Run
	Ended   []batch.End
	// Unread counts the rows that couldn't be read.
	Unread int
}

// A Worker takes orders.
type Worker interface {
	Start(ctx context.Context, o StartOrder) (Answer, error)
	Stop(ctx context.Context, t batch.Task, run int, fence int64) (Answer, error)
	Pace(ctx context.Context, t batch.Task, run, percent int, fence int64) (Answer, error)
	Hold(ctx context.Context, o HoldOrder) (Answer, Lists, error)
}

// A Report is a worker's heartbeat.
type Report struct {
	Worker batch.Worker
	// Seq rises with each heartbeat of a life.
	Seq   int64
	Clock time.Duration
}

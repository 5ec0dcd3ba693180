package hostagent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Errors returned by a Worker.
var (
	// ErrNotSent is returned if the order can't have reached the worker.
	ErrNotSent = errors.New("hostagent: order not sent")
	// ErrRefused is returned if the worker's address refused the connection, so that no worker serves there. It wraps ErrNotSent.
	ErrRefused = errors.WithMessage(ErrNotSent, "hostagent: connection refused")
	// ErrNoAnswer is returned if no answer came; the order may have been carried out, or may still be.
	ErrNoAnswer = errors.New("hostagent: no answer")
	// ErrOtherIncarnation is returned if another incarnation of the worker answered without carrying out the order.
	ErrOtherIncarnation = errors.New("hostagent: answered by another incarnation of the worker")
	// ErrNextIncarnation is returned if a later incarnation under the same ID answered
	// and may have carried out the order. It wraps ErrOtherIncarnation.
	ErrNextIncarnation = errors.WithMessage(ErrOtherIncarnation, "hostagent: the order may have been carried out")
	// ErrUnhealthy is returned if the worker refused the order because it's unhealthy.
	ErrUnhealthy = errors.New("hostagent: worker is unhealthy")
	// ErrFenced is returned if the worker has seen a higher fence.
	ErrFenced = errors.New("hostagent: order has an old fence")
	// ErrOldRun is returned if the run number isn't higher than that of a run of the task that ended there.
	ErrOldRun = errors.New("hostagent: run number is not newer")
	// ErrLeaseExpired is returned if the lease of the order has expired.
	ErrLeaseExpired = errors.New("hostagent: lease has expired")
	// ErrNoCapacity is returned if the worker lacks free capacity for the task.
	ErrNoCapacity = errors.New("hostagent: not enough free capacity")
	// ErrNoTicket is returned if the policy's ticket is missing or invalid.
	ErrNoTicket = errors.New("hostagent: no valid ticket")
	// ErrRejected is returned if the worker refused for another reason.
	ErrRejected = errors.New("hostagent: order rejected")
)

// An Answer is the part that all answers of a worker have in common.
type Answer struct {
	// Clock is the reading of the worker's monotonic clock; 0 if unknown.
	Clock time.Duration
}

// A StartOrder orders a worker to start a run.
type StartOrder struct {
	Task       batch.Task
	Number     int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseEnd is the end of the lease, by the worker's clock.
	LeaseEnd time.Duration
	Fence    int64
}

// A HoldOrder renews the lease and asks for the worker's runs.
type HoldOrder struct {
	Fence int64
	// AckedSeq is the sequence number up to which the worker may forget its ends.
	AckedSeq int64
	// LeaseEnd is the end of the lease, by the worker's clock; 0 doesn't renew it.
	LeaseEnd time.Duration
	// Wait is how long the worker may hold the answer back until a run ends.
	Wait time.Duration
}

// RunLists are the running and the ended runs of a worker.
type RunLists struct {
	Running []batch.Run
	Ended   []batch.End
	// Malformed is the number of rows that couldn't be decoded.
	Malformed int
}

// A Worker is a client of one worker incarnation. Each order carries a fence.
type Worker interface {
	Start(ctx context.Context, o StartOrder) (Answer, error)
	Stop(ctx context.Context, t batch.Task, run int, fence int64) (Answer, error)
	// Pace sets the share of full speed, in percent, to which a run is throttled.
	Pace(ctx context.Context, t batch.Task, run, percent int, fence int64) (Answer, error)
	// Hold is a long poll: it renews the lease and returns the lists once there are ends, or after o.Wait.
	Hold(ctx context.Context, o HoldOrder) (Answer, RunLists, error)
}

// A Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Worker batch.Worker
	// Seq rises with each heartbeat of an incarnation.
	Seq int64
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
}

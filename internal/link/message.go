package link

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Message is what two nodes tell each other; one field is set.
type Message struct {
	Hello        *Hello        `cbor:"1,keyasint,omitempty"`
	Welcome      *Welcome      `cbor:"2,keyasint,omitempty"`
	Ping         *Ping         `cbor:"3,keyasint,omitempty"`
	Pong         *Pong         `cbor:"4,keyasint,omitempty"`
	Snapshot     *Snapshot     `cbor:"5,keyasint,omitempty"`
	WorkerUpdate *WorkerUpdate `cbor:"6,keyasint,omitempty"`
	WorkerGone   *WorkerGone   `cbor:"7,keyasint,omitempty"`
	Ends         *Ends         `cbor:"8,keyasint,omitempty"`
	EndsAck      *EndsAck      `cbor:"9,keyasint,omitempty"`
	Start        *Start        `cbor:"10,keyasint,omitempty"`
	Stop         *Stop         `cbor:"11,keyasint,omitempty"`
	StartResult  *StartResult  `cbor:"12,keyasint,omitempty"`
	Progress     *Progress     `cbor:"13,keyasint,omitempty"`
	Query        *Query        `cbor:"14,keyasint,omitempty"`
	Reply        *Reply        `cbor:"15,keyasint,omitempty"`
	SnapshotAck  *SnapshotAck  `cbor:"16,keyasint,omitempty"`
	Interference *Interference `cbor:"20,keyasint,omitempty"`
	JobAccepted  *JobAccepted  `cbor:"21,keyasint,omitempty"`
	JobCancelled *JobCancelled `cbor:"22,keyasint,omitempty"`
	TakeOver     *TakeOver     `cbor:"23,keyasint,omitempty"`
	StoreRequest *StoreRequest `cbor:"24,keyasint,omitempty"`
}

// Hello opens a session with the scheduler.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	// Incarnation is new at each start of the process.
	Incarnation int64  `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	Region      string `cbor:"5,keyasint"`
	// Host is set on nodes with a worker.
	Host bool `cbor:"6,keyasint"`
	// Workers are the lives that the host holds; a snapshot of each follows.
	Workers []batch.WorkerKey `cbor:"8,keyasint,omitempty"`
	// Cores is the processor time that the process may use, in cores; 0 where it isn't known.
	Cores float64 `cbor:"9,keyasint,omitempty"`
	// LinkMbps is how much the link of the process carries, in Mbit/s; 0 where it isn't known.
	LinkMbps float64 `cbor:"12,keyasint,omitempty"`
	// StoreLatency is how long the store took to answer the process before it said hello.
	StoreLatency time.Duration `cbor:"11,keyasint,omitempty"`
	// Unregistered is set where the process may have removed its key from the store.
	Unregistered bool `cbor:"10,keyasint,omitempty"`
}

// Welcome answers a hello.
type Welcome struct {
	// Epoch orders the schedulers.
	Epoch int64 `cbor:"1,keyasint"`
	// Fence goes with all orders of this session.
	Fence int64 `cbor:"2,keyasint"`
}

// Ping asks for a grant.
type Ping struct {
	// Sent is the sender's own time and comes back as it is.
	Sent int64 `cbor:"1,keyasint"`
	// StoreAge is how long ago the store answered the sender; negative where it never did.
	StoreAge time.Duration `cbor:"2,keyasint"`
	// NoPriorRuns tells that no worker of this host can run anything that was
	// started before: it has none, and leases of before are over.
	NoPriorRuns bool `cbor:"3,keyasint,omitempty"`
}

// Pong grants the lease of the session, counted from the ping's sending.
type Pong struct {
	Sent  int64         `cbor:"1,keyasint"`
	Grant time.Duration `cbor:"2,keyasint"`
	// MaxStrength is the strength of the strongest process that no work runs beside; 0 where none is known.
	MaxStrength float64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is all that a worker knows under the session's fence.
type Snapshot struct {
	Fence   int64        `cbor:"1,keyasint"`
	Worker  batch.Worker `cbor:"2,keyasint"`
	Running []batch.Run  `cbor:"3,keyasint"`
	Ended   []batch.End  `cbor:"4,keyasint"`
}

// WorkerUpdate tells of a change in what a worker says of itself.
type WorkerUpdate struct {
	Worker batch.Worker `cbor:"1,keyasint"`
}

// WorkerGone tells that nothing runs on a life of a worker any more.
type WorkerGone struct {
	Key batch.WorkerKey `cbor:"1,keyasint"`
	// Reason is for the log.
	Reason string `cbor:"2,keyasint"`
}

// Ends tells of runs that are over.
type Ends struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	Ends []batch.End     `cbor:"2,keyasint"`
}

// EndsAck says up to which end the worker may forget.
type EndsAck struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	UpTo int64           `cbor:"2,keyasint"`
}

// Start orders a run.
type Start struct {
	Key        batch.WorkerKey `cbor:"1,keyasint"`
	Task       batch.Task      `cbor:"2,keyasint"`
	Number     int             `cbor:"3,keyasint"`
	Spec       string          `cbor:"4,keyasint"`
	Checkpoint string          `cbor:"5,keyasint,omitempty"`
	Ticket     string          `cbor:"6,keyasint,omitempty"`
	Info       RunInfo         `cbor:"7,keyasint"`
}

// A RunInfo is what a host has to know of a run to share its processor.
type RunInfo struct {
	Task batch.Task `cbor:"1,keyasint"`
	// LatencyTarget bounds the tail latency of a run that serves.
	LatencyTarget time.Duration `cbor:"2,keyasint,omitempty"`
	BestEffort    bool          `cbor:"3,keyasint,omitempty"`
	Image         string        `cbor:"4,keyasint,omitempty"`
	MilliCPU      int           `cbor:"5,keyasint,omitempty"`
}

// SnapshotAck tells of runs that a host found on its worker.
type SnapshotAck struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	Runs []RunInfo       `cbor:"2,keyasint"`
}

// Stop orders the end of a run.
type Stop struct {
	Key    batch.WorkerKey `cbor:"1,keyasint"`
	Task   batch.Task      `cbor:"2,keyasint"`
	Number int             `cbor:"3,keyasint"`
}

// StartResult tells what became of a start.
type StartResult struct {
	Key    batch.WorkerKey `cbor:"1,keyasint"`
	Task   batch.Task      `cbor:"2,keyasint"`
	Number int             `cbor:"3,keyasint"`
	// Refusal is empty where the run is there.
	Refusal Refusal `cbor:"4,keyasint,omitempty"`
}

// A Refusal says why a run isn't there and won't be.
type Refusal string

// The refusals.
const (
	RefusedNoCapacity   Refusal = "noRoom"
	RefusedOldRun       Refusal = "oldRun"
	RefusedLeaseExpired Refusal = "leaseOver"
	RefusedNoTicket     Refusal = "noTicket"
	RefusedUnhealthy    Refusal = "unhealthy"
	RefusedDraining     Refusal = "draining"
	RefusedFenced       Refusal = "fenced"
	RefusedOther        Refusal = "rejected"
	RefusedNoAnswer     Refusal = "noAnswer"
	// RefusedRunMissing runs were there and are neither at work nor listed as over.
	RefusedRunMissing Refusal = "vanished"
)

// Progress tells how the runs of a worker get on.
type Progress struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	Runs []batch.Run     `cbor:"2,keyasint"`
	// Throttling tells that serving runs are near their target here.
	Throttling bool `cbor:"3,keyasint,omitempty"`
}

// JobAccepted tells of a job that an entry has just stored; the scheduler also hears of it from the store, later.
type JobAccepted struct {
	Job batch.JobID `cbor:"1,keyasint"`
	// Value is the job as it's stored, Revision that of its key.
	Value    []byte `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
}

// JobCancelled tells of a cancellation that an entry has just stored.
type JobCancelled struct {
	Job batch.JobID `cbor:"1,keyasint"`
}

// TakeOver tells a process that the scheduler is about to end and that it should follow.
type TakeOver struct {
	Epoch int64 `cbor:"1,keyasint"`
}

// Query asks for a job's state or a queue's length.
type Query struct {
	ID    uint64      `cbor:"1,keyasint"`
	Job   batch.JobID `cbor:"2,keyasint,omitempty"`
	Queue string      `cbor:"3,keyasint,omitempty"`
}

// StoreRequest asks the scheduler to store a record for an entry that has lost the store.
type StoreRequest struct {
	ID  uint64      `cbor:"1,keyasint"`
	Job batch.JobID `cbor:"2,keyasint"`
	// Value is the job as it's stored; a cancellation has none.
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// A StoreOutcome says what became of a record.
type StoreOutcome int

// The outcomes of a Keep.
const (
	// StoreUnknown records may be stored, also later.
	StoreUnknown StoreOutcome = iota
	// Stored records are stored.
	Stored
	// NotStored records aren't, and won't be by this Keep.
	NotStored
)

// String names the outcome, for logs and metrics.
func (o StoreOutcome) String() string {
	switch o {
	case Stored:
		return "kept"
	case NotStored:
		return "notKept"
	case StoreUnknown:
	}
	return "unknown"
}

// Reply answers an Ask or a Keep.
type Reply struct {
	ID      uint64         `cbor:"1,keyasint"`
	Known   bool           `cbor:"2,keyasint"`
	State   batch.JobState `cbor:"3,keyasint,omitempty"`
	Pending int            `cbor:"4,keyasint,omitempty"`
	// Outcome is the outcome of a Keep.
	Outcome StoreOutcome `cbor:"5,keyasint,omitempty"`
}

// Interference tells the hosts which images disturb which.
type Interference struct {
	Entries []interfere.Entry `cbor:"1,keyasint"`
	// IdleTail is by image the least tail of a serving task.
	IdleTail map[fleet.Kind]time.Duration `cbor:"2,keyasint"`
}

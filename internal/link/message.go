package link

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/retention"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Message is one frame between two nodes. Exactly one field is set.
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
	WorkerSilent *WorkerSilent `cbor:"25,keyasint,omitempty"`
}

// Hello opens a session with the scheduler.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	// Incarnation is a new number at each start of the process.
	Incarnation int64  `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	Region      string `cbor:"5,keyasint"`
	// Host is set on nodes that run a worker.
	Host bool `cbor:"6,keyasint"`
	// Workers are the worker incarnations of the host; a snapshot of each follows.
	Workers []batch.WorkerKey `cbor:"8,keyasint,omitempty"`
	// Cores is the processor time that the process may use, in cores; 0 if unknown.
	Cores float64 `cbor:"9,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the process's network link, in Mbit/s; 0 if unknown.
	LinkMbps float64 `cbor:"12,keyasint,omitempty"`
	// StoreLatency is how long the store took to answer the process before this message.
	StoreLatency time.Duration `cbor:"11,keyasint,omitempty"`
	// Unregistered is set if the process may have removed its key from the store.
	Unregistered bool `cbor:"10,keyasint,omitempty"`
}

// Welcome answers a Hello and opens the session.
type Welcome struct {
	// Epoch is the scheduler's epoch; a newer scheduler has a higher one.
	Epoch int64 `cbor:"1,keyasint"`
	// Fence is the first fencing token of the session; each order to a worker carries one.
	Fence int64 `cbor:"2,keyasint"`
	// EarlierLeases is how long leases that were granted in earlier terms may last.
	EarlierLeases time.Duration `cbor:"3,keyasint,omitempty"`
}

// Ping asks for a lease grant.
type Ping struct {
	// Sent is the sender's clock; the Pong returns it unchanged.
	Sent int64 `cbor:"1,keyasint"`
	// StoreAge is how long ago the store last answered the sender; negative if it never did.
	StoreAge time.Duration `cbor:"2,keyasint"`
	// NoPriorRuns is set if no earlier run can still be running on this host:
	// it has no worker, and the leases that an earlier process renewed have expired.
	NoPriorRuns bool `cbor:"3,keyasint,omitempty"`
	// Echo is the Stamp of the last Pong; 0 before the first one. Nodes of earlier versions don't send it.
	Echo int64 `cbor:"4,keyasint,omitempty"`
}

// Pong grants the session's lease, counted from the time at which the Ping was sent.
type Pong struct {
	Sent  int64         `cbor:"1,keyasint"`
	Grant time.Duration `cbor:"2,keyasint"`
	// MaxStrength is the highest succession strength among the processes
	// without a worker on their host; 0 if none is known.
	MaxStrength float64 `cbor:"3,keyasint,omitempty"`
	// Load is the room for work and the work that waits; it is sent to processes without a
	// worker on their host only. Schedulers of earlier versions don't send it.
	Load *overload.Summary `cbor:"4,keyasint,omitempty"`
	// Memory is what the scheduler holds of jobs; it is sent like Load. Schedulers of earlier versions don't send it.
	Memory *retention.Report `cbor:"7,keyasint,omitempty"`
	// Stamp is the scheduler's clock; the next Ping returns it unchanged. Schedulers of earlier
	// versions don't send it.
	Stamp int64 `cbor:"5,keyasint,omitempty"`
	// OutageAge is for how long the store hasn't answered the scheduler, which renews leases all the
	// same; 0 if it answers. The node's next term, if it leads, waits until these leases have ended.
	OutageAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// Snapshot is the full state of a worker under the session's fence.
type Snapshot struct {
	Fence   int64        `cbor:"1,keyasint"`
	Worker  batch.Worker `cbor:"2,keyasint"`
	Running []batch.Run  `cbor:"3,keyasint"`
	Ended   []batch.End  `cbor:"4,keyasint"`
	// LeaseLeft is how long leases last that the worker may hold already. Hosts of earlier versions don't send it.
	LeaseLeft time.Duration `cbor:"5,keyasint,omitempty"`
}

// WorkerUpdate reports a change of a worker's own description.
type WorkerUpdate struct {
	Worker batch.Worker `cbor:"1,keyasint"`
}

// WorkerSilent reports that a worker has stopped to answer its host, or answers again. It
// follows a Snapshot of the worker in the same session; a later Snapshot ends the silence too.
// Hosts of earlier versions don't send it.
type WorkerSilent struct {
	Key    batch.WorkerKey `cbor:"1,keyasint"`
	Silent bool            `cbor:"2,keyasint,omitempty"`
}

// WorkerGone reports that nothing runs on a worker incarnation any more.
type WorkerGone struct {
	Key batch.WorkerKey `cbor:"1,keyasint"`
	// Reason is used only in the log.
	Reason string `cbor:"2,keyasint"`
	// StillLives is set if the incarnation, all of whose runs have lapsed, has sent a heartbeat since.
	StillLives bool `cbor:"4,keyasint,omitempty"`
	// OpenStarts are the starts that the worker's next incarnation may still carry out.
	OpenStarts []OpenStart `cbor:"3,keyasint,omitempty"`
}

// OpenStart is a start of which a call got no answer.
type OpenStart struct {
	Task   batch.Task `cbor:"1,keyasint"`
	Number int        `cbor:"2,keyasint"`
	// Left is how much longer the call may be carried out.
	Left time.Duration `cbor:"3,keyasint"`
}

// Ends reports runs that have ended.
type Ends struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	Ends []batch.End     `cbor:"2,keyasint"`
}

// EndsAck acknowledges the ends of a worker up to a sequence number, which the worker may then forget.
type EndsAck struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	UpTo int64           `cbor:"2,keyasint"`
}

// Start orders a worker to start a run.
type Start struct {
	Key        batch.WorkerKey `cbor:"1,keyasint"`
	Task       batch.Task      `cbor:"2,keyasint"`
	Number     int             `cbor:"3,keyasint"`
	Spec       string          `cbor:"4,keyasint"`
	Checkpoint string          `cbor:"5,keyasint,omitempty"`
	Ticket     string          `cbor:"6,keyasint,omitempty"`
	Info       RunInfo         `cbor:"7,keyasint"`
}

// A RunInfo is what a host needs to know about a run to pace it and its neighbours.
type RunInfo struct {
	Task batch.Task `cbor:"1,keyasint"`
	// LatencyTarget bounds the tail latency of a latency-critical run; 0 for other runs.
	LatencyTarget time.Duration `cbor:"2,keyasint,omitempty"`
	BestEffort    bool          `cbor:"3,keyasint,omitempty"`
	Image         string        `cbor:"4,keyasint,omitempty"`
	MilliCPU      int           `cbor:"5,keyasint,omitempty"`
}

// SnapshotAck acknowledges a Snapshot and describes the runs in it.
type SnapshotAck struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	Runs []RunInfo       `cbor:"2,keyasint"`
}

// Stop orders a worker to stop a run.
type Stop struct {
	Key    batch.WorkerKey `cbor:"1,keyasint"`
	Task   batch.Task      `cbor:"2,keyasint"`
	Number int             `cbor:"3,keyasint"`
}

// StartResult is the outcome of a Start.
type StartResult struct {
	Key    batch.WorkerKey `cbor:"1,keyasint"`
	Task   batch.Task      `cbor:"2,keyasint"`
	Number int             `cbor:"3,keyasint"`
	// Refusal is empty if the run was started.
	Refusal Refusal `cbor:"4,keyasint,omitempty"`
	// OpenLeft is how much longer a call to start the run may be carried out that got no answer; 0 if there is none.
	OpenLeft time.Duration `cbor:"5,keyasint,omitempty"`
}

// A Refusal is the reason why a run isn't on the worker and won't be.
type Refusal string

// Reasons for a refusal.
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
	// RefusedRunMissing is used for a run that was started and is now listed neither as running nor as ended.
	RefusedRunMissing Refusal = "vanished"
)

// Progress reports the progress and load of a worker's runs.
type Progress struct {
	Key  batch.WorkerKey `cbor:"1,keyasint"`
	Runs []batch.Run     `cbor:"2,keyasint"`
	// Throttling is set if best-effort runs are throttled because
	// latency-critical runs on this worker are near their latency target.
	Throttling bool `cbor:"3,keyasint,omitempty"`
}

// JobAccepted reports a job that an entry has just stored. The scheduler also reads it from the store, later.
type JobAccepted struct {
	Job batch.JobID `cbor:"1,keyasint"`
	// Value is the stored record of the job, and Revision the revision of its key.
	Value    []byte `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
}

// JobCancelled reports a cancellation that an entry has just stored.
type JobCancelled struct {
	Job batch.JobID `cbor:"1,keyasint"`
}

// TakeOver notifies a process that the scheduler is about to end and that it is the chosen successor.
type TakeOver struct {
	Epoch int64 `cbor:"1,keyasint"`
}

// Query asks for the state of a job or the length of a queue.
type Query struct {
	ID    uint64      `cbor:"1,keyasint"`
	Job   batch.JobID `cbor:"2,keyasint,omitempty"`
	Queue string      `cbor:"3,keyasint,omitempty"`
	// Explain is the record of a job that isn't submitted, with the ID in Job: where would it go?
	Explain []byte `cbor:"4,keyasint,omitempty"`
}

// StoreRequest asks the scheduler to store a record for an entry that can't reach the store.
type StoreRequest struct {
	ID  uint64      `cbor:"1,keyasint"`
	Job batch.JobID `cbor:"2,keyasint"`
	// Value is the record of the job; it's empty for a cancellation.
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// A StoreOutcome is the outcome of a StoreRequest.
type StoreOutcome int

// Outcomes of a StoreRequest.
const (
	// StoreUnknown means that the record may have been stored, or may still be.
	StoreUnknown StoreOutcome = iota
	// Stored means that the record is in the store.
	Stored
	// NotStored means that this request neither has stored the record nor will store it.
	NotStored
	// Fenced means that the job was cancelled before it was stored, and that no request stores it any more. Schedulers of
	// earlier versions don't send it.
	Fenced
)

// String returns the name of the outcome in logs and metrics.
func (o StoreOutcome) String() string {
	switch o {
	case Stored:
		return "kept"
	case NotStored:
		return "notKept"
	case Fenced:
		return "fenced"
	case StoreUnknown:
	}
	return "unknown"
}

// Reply answers a Query or a StoreRequest.
type Reply struct {
	ID      uint64         `cbor:"1,keyasint"`
	Known   bool           `cbor:"2,keyasint"`
	State   batch.JobState `cbor:"3,keyasint,omitempty"`
	Pending int            `cbor:"4,keyasint,omitempty"`
	// Outcome is set in the answer to a StoreRequest.
	Outcome StoreOutcome `cbor:"5,keyasint,omitempty"`
	// Explanation is set in the answer to a Query with Explain.
	Explanation *schedule.Explanation `cbor:"6,keyasint,omitempty"`
}

// Interference gives the hosts the interference estimates between images.
type Interference struct {
	Entries []interfere.Estimate `cbor:"1,keyasint"`
	// IdleTail is, by image, the lowest tail latency of a latency-critical task.
	IdleTail map[fleet.Kind]time.Duration `cbor:"2,keyasint"`
}

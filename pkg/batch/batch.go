// Package batch holds the words of work that runs in steps: jobs, their steps
// and tasks, the queues that they wait in and the workers that run them.
package batch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrBadTask is returned for a text that names no task.
var ErrBadTask = errors.New("batch: bad task name")

// ErrBadJob is returned for a job that can't be run as described.
var ErrBadJob = errors.New("batch: bad job")

// A JobID names a job; its caller chose it.
type JobID string

// Resources is what a task needs or a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `json:"milliCpu"`
	// MemoryMB is in megabytes.
	MemoryMB int `json:"memoryMb"`
	GPU      int `json:"gpu,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.GPU <= room.GPU
}

// A Job is a set of steps that is accepted and ends as a whole.
type Job struct {
	ID    JobID  `json:"id"`
	Queue string `json:"queue"`
	// Spec is passed to the workers unread.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Repeat is the number of occurrences; 0 is one run without a due time.
	Repeat   int           `json:"repeat,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// QueueConfig are those of its queue when the job was accepted; they hold
	// once the queue is gone from the configuration.
	QueueConfig Queue `json:"terms"`
	// Accepted is the wall time of the process that accepted the job.
	Accepted time.Time `json:"accepted,omitzero"`
}

// A Step is a set of like tasks.
type Step struct {
	Count    int           `json:"count"`
	Need     Resources     `json:"need"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the earlier steps that have to be done first.
	DependsOn   []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks work only while all of them run, and end together.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"sameRack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"requires,omitempty"`
	// DataRack is the rack that holds the step's data.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of an occurrence on one worker; 0 is no bound.
	MaxPerWorker int  `json:"maxPerWorker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a task that serves its own users.
	LatencyTarget time.Duration `json:"tailTarget,omitempty"`
	// BestEffort tasks take only the processor time that others leave.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks may be away at once by our own doing.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// The bounds of one job; the largest steps known have a tenth of this.
const (
	maxSteps    = 64
	maxTasks    = 5000
	maxRepeat   = 10000
	maxSpecSize = 4000
)

// Check returns ErrBadJob with the reason for a job that can't be run.
func (j *Job) Check() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return errors.Wrapf(ErrBadJob, "%d steps", len(j.Steps))
	case len(j.Spec) > maxSpecSize:
		return errors.Wrapf(ErrBadJob, "spec of %d bytes", len(j.Spec))
	case j.Repeat < 0 || j.Repeat > maxRepeat:
		return errors.Wrapf(ErrBadJob, "%d occurrences", j.Repeat)
	case j.Repeat > 1 && j.Interval <= 0:
		return errors.Wrap(ErrBadJob, "occurrences without an interval")
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count <= 0 || s.Count > maxTasks {
			return errors.Wrapf(ErrBadJob, "step %d has %d tasks", i, s.Count)
		}
		if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
			return errors.Wrapf(ErrBadJob, "step %d has a need below zero", i)
		}
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return errors.Wrapf(ErrBadJob, "step %d waits for step %d", i, a)
			}
		}
		tasks += s.Count
	}
	if tasks > maxTasks {
		return errors.Wrapf(ErrBadJob, "%d tasks", tasks)
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// A Queue is a row of the operators' configuration for jobs.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority    int           `json:"priority"`
	MaxAttempts int           `json:"maxAttempts"`
	Stretch     float64       `json:"stretch"`
	Objective   time.Duration `json:"objective"`
	// Advised queues need the policy service's leave for each worker.
	Advised bool `json:"advised,omitempty"`
}

// A Task names one task of one occurrence of a step.
type Task struct {
	Job        JobID `json:"job"`
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
	Index      int   `json:"index"`
}

// String returns the name that workers know the task by.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask reads what String wrote.
func ParseTask(s string) (Task, error) {
	p := strings.Split(s, ".")
	if len(p) != 4 || p[0] == "" {
		return Task{}, errors.Wrap(ErrBadTask, s)
	}
	var n [3]int
	for i, f := range p[1:] {
		v, err := strconv.Atoi(f)
		if err != nil || v < 0 {
			return Task{}, errors.Wrap(ErrBadTask, s)
		}
		n[i] = v
	}
	return Task{Job: JobID(p[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// An EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	Done    EndKind = "done"
	Failed  EndKind = "failed"
	Stopped EndKind = "stopped"
	// Lapsed runs outlived the lease of their worker.
	Lapsed EndKind = "lapsed"
	// GangBroken runs were in a gang of which another member ended.
	GangBroken EndKind = "broken"
	// GangIncomplete runs waited for the others of their gang in vain.
	GangIncomplete EndKind = "alone"
)

// A JobState is what callers are told of a job.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	JobFailed JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final reports whether a job in state s runs no more.
func (s JobState) Final() bool { return s == Completed || s == JobFailed || s == Cancelled }

// A Worker is one life of the process that runs tasks on a host.
type Worker struct {
	ID string `json:"id"`
	// StartTime orders the lives under one id; it's the Unix time of the start.
	StartTime int64 `json:"born"`
	// Machine outlives the worker; a move or an upkeep gives it a new one.
	Machine        string        `json:"machine,omitempty"`
	Service        string        `json:"service"`
	Address        string        `json:"address"`
	DataCentre     string        `json:"dataCentre"`
	Capacity       Resources     `json:"room"`
	Labels         []string      `json:"labels"`
	Draining       bool          `json:"draining"`
	DrainRemaining time.Duration `json:"drainLeft,omitempty"`
}

// Key names the life.
func (w *Worker) Key() WorkerKey { return WorkerKey{w.ID, w.StartTime} }

// A WorkerKey names one life of a worker.
type WorkerKey struct {
	ID        string `json:"id"`
	StartTime int64  `json:"born"`
}

// Rack returns the label that names the rack; racks are the labels that begin with r.
func (w *Worker) Rack() string {
	for _, l := range w.Labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}

// LoadWindow is the time over which a worker measures the load of a run.
const LoadWindow = 500 * time.Millisecond

// A Run is a task at work on a worker.
type Run struct {
	Task       Task   `json:"task"`
	Number     int    `json:"number"`
	Checkpoint string `json:"saved,omitempty"`
	// ProgressPercent is the run's progress, of a lasting task how far it is up.
	ProgressPercent int `json:"percent"`
	// Load is the tail latency in milliseconds of a task that serves,
	// of another the processor use in thousandths of a core.
	Load int `json:"load"`
	// Pace is the share in percent at which the host lets a filling run work.
	Pace int `json:"pace,omitempty"`
}

// An End is a run that is over.
type End struct {
	// Seq numbers the ends of one life of a worker from 1.
	Seq        int64   `json:"seq"`
	Task       Task    `json:"task"`
	Number     int     `json:"number"`
	How        EndKind `json:"how"`
	Checkpoint string  `json:"saved,omitempty"`
}

// Package batch defines the data model of jobs that run in steps: jobs, their
// steps and tasks, the queues they wait in and the workers that run them.
package batch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrBadTask is returned for a string that isn't the name of a task.
var ErrBadTask = errors.New("batch: bad task name")

// ErrBadJob is returned for an invalid job description.
var ErrBadJob = errors.New("batch: bad job")

// A JobID identifies a job. It is chosen by the caller.
type JobID string

// Resources are the resources that a task needs or a worker has.
type Resources struct {
	// MilliCPU is the processor time in thousandths of a core.
	MilliCPU int `json:"milliCpu"`
	// MemoryMB is the memory in megabytes.
	MemoryMB int `json:"memoryMb"`
	GPU      int `json:"gpu,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// A Job is a set of steps that is accepted and completed as a whole.
type Job struct {
	ID    JobID  `json:"id"`
	Queue string `json:"queue"`
	// Spec is opaque and passed to the workers unchanged.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Repeat is the number of occurrences; 0 is a single one without a due time.
	// Start is the due time of the first occurrence, Interval the time between two.
	Repeat   int           `json:"repeat,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// QueueConfig is the configuration of its queue when the job was accepted. It
	// applies once the queue has been removed from the configuration.
	QueueConfig Queue `json:"terms"`
	// Accepted is when the job was accepted, or first refused for overload if the same
	// process did so, by the wall clock of the accepting process.
	Accepted time.Time `json:"accepted,omitzero"`
}

// A Step is a set of tasks with the same properties.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Need is what each task reserves of its worker.
	Need Resources `json:"need"`
	// Estimate is the expected duration of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the indices of earlier steps that have to complete first.
	DependsOn []int `json:"after,omitempty"`
	// Checkpoints is set for tasks that save checkpoints and resume from them.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tasks make progress only while all of them run, and end together.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"sameRack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"requires,omitempty"`
	// DataRack is the rack that holds the step's data.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of an occurrence on one worker; 0
	// is no limit.
	MaxPerWorker int  `json:"maxPerWorker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a latency-critical task.
	LatencyTarget time.Duration `json:"tailTarget,omitempty"`
	// BestEffort tasks use only the processor time that other tasks leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks the scheduler may itself make unavailable at once.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// The limits of one job. The largest known steps have a tenth of these sizes.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps    = 64
	MaxTasks    = 5000
	maxRepeat   = 10000
	maxSpecSize = 4000
	// maxTotalTasks bounds the tasks of all occurrences, which a scheduler holds in memory.
	maxTotalTasks = 10 * MaxTasks
)

// Check validates the job and returns ErrBadJob with the reason if it is invalid.
func (j *Job) Check() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
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
		if s.Count <= 0 || s.Count > MaxTasks {
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
	if tasks > MaxTasks {
		return errors.Wrapf(ErrBadJob, "%d tasks", tasks)
	}
	if tasks*j.Occurrences() > maxTotalTasks {
		return errors.Wrapf(ErrBadJob, "%d tasks in %d occurrences", tasks, j.Repeat)
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// A Queue is a row of the operators' configuration for jobs.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority 0 is the most urgent.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and Objective define the objective for the completion time of a job:
	// Stretch times the estimated duration of its longest chain of steps, plus Objective.
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"objective"`
	// Advised queues need the approval of the policy service for each worker.
	Advised bool `json:"advised,omitempty"`
}

// A Task identifies one task of one occurrence of a step.
type Task struct {
	Job        JobID `json:"job"`
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
	Index      int   `json:"index"`
}

// String returns the name of the task that is used towards workers.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask parses a name in the format of String.
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

// An EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	Done    EndKind = "done"
	Failed  EndKind = "failed"
	Stopped EndKind = "stopped"
	// Lapsed runs were ended because the lease of their worker expired.
	Lapsed EndKind = "lapsed"
	// GangBroken runs ended because another member of their gang ended.
	GangBroken EndKind = "broken"
	// GangIncomplete runs ended because not all members of their gang started in time.
	GangIncomplete EndKind = "alone"
)

// A JobState is the state of a job as reported to callers.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	JobFailed JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final reports whether s is a state in which a job no longer runs.
func (s JobState) Final() bool { return s == Completed || s == JobFailed || s == Cancelled }

// A Worker is one incarnation of the process that runs tasks on a host.
type Worker struct {
	ID string `json:"id"`
	// StartTime is the Unix time of the start. It orders the incarnations with the same ID.
	StartTime int64 `json:"born"`
	// Machine identifies the machine below the worker. It outlives the worker, which
	// gets another machine by a move or by maintenance.
	Machine    string `json:"machine,omitempty"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Capacity is the total of the resources that the worker offers.
	Capacity Resources `json:"room"`
	Labels   []string  `json:"labels"`
	Draining bool      `json:"draining"`
	// DrainRemaining is the time left until a draining worker leaves.
	DrainRemaining time.Duration `json:"drainLeft,omitempty"`
	// ColdRemaining is how much longer the worker is slow after its start.
	ColdRemaining time.Duration `json:"coldLeft,omitempty"`
}

// Key returns the key of the incarnation.
func (w *Worker) Key() WorkerKey { return WorkerKey{w.ID, w.StartTime} }

// A WorkerKey identifies one incarnation of a worker.
type WorkerKey struct {
	ID        string `json:"id"`
	StartTime int64  `json:"born"`
}

// Rack returns the label that names the rack, or an empty string. Rack labels
// begin with an r and a digit.
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

// LoadWindow is the duration of the window in which a worker measures the load of a run.
const LoadWindow = 500 * time.Millisecond

// A Run is one execution of a task on a worker.
type Run struct {
	Task   Task `json:"task"`
	Number int  `json:"number"`
	// Checkpoint is the checkpoint that the run saved last.
	Checkpoint string `json:"saved,omitempty"`
	// ProgressPercent is the progress of the run, or of the startup of a long-running task.
	ProgressPercent int `json:"percent"`
	// Load is the tail latency in milliseconds of a latency-critical task, or the
	// processor use in thousandths of a core of any other task.
	Load int `json:"load"`
	// Pace is the share of its speed in percent that a best-effort run is throttled to.
	Pace int `json:"pace,omitempty"`
}

// An End reports a run that has ended.
type End struct {
	// Seq numbers the ends of one incarnation of a worker, starting at 1.
	Seq        int64   `json:"seq"`
	Task       Task    `json:"task"`
	Number     int     `json:"number"`
	How        EndKind `json:"how"`
	Checkpoint string  `json:"saved,omitempty"`
}

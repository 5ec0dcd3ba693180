package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// PathJobs is the path under which jobs are submitted, read, listed and cancelled.
const PathJobs = "/v1/jobs"

// A Job is a job as an operator submits it.
type Job struct {
	ID        task.JobID      `json:"id"`
	Kind      fleet.Kind      `json:"kind"`
	Team      fleet.Team      `json:"team,omitempty"`
	Class     table.Class     `json:"class"`
	Tasks     uint32          `json:"tasks"`
	Resources fleet.Resources `json:"resources"`
	Urgent    bool            `json:"urgent,omitempty"`
	Region    string          `json:"region,omitempty"`
	// CrossRegion permits tasks outside Region.
	CrossRegion bool `json:"crossRegion,omitempty"`
	Spread      bool `json:"spread,omitempty"`
	// Command is passed to the worker unchanged.
	Command string `json:"command"`
}

// Spec returns the job in the form that the owner of its shard accepts.
func (j Job) Spec() task.Spec {
	return task.Spec{
		Kind: j.Kind, Team: j.Team, Class: j.Class, Tasks: j.Tasks, Need: j.Resources, Urgent: j.Urgent,
		Region: j.Region, CrossRegion: j.CrossRegion, Spread: j.Spread, Payload: []byte(j.Command),
	}
}

// A JobState is the state of a job as operators read it.
type JobState struct {
	ID     task.JobID `json:"id"`
	Kind   fleet.Kind `json:"kind,omitempty"`
	Phase  string     `json:"phase"`
	Reason string     `json:"reason,omitempty"`
	// Tasks counts the job's tasks by phase.
	Tasks map[string]int `json:"tasks,omitempty"`
	// Attempts is the number of attempts of all its tasks.
	Attempts int `json:"attempts"`
}

// NewJobState returns the state of a job.
func NewJobState(id task.JobID, j task.Job) JobState {
	s := JobState{ID: id, Kind: j.Spec.Kind, Phase: j.Phase.String(), Reason: j.Reason, Tasks: make(map[string]int)}
	for _, t := range j.Tasks {
		s.Tasks[t.Phase.String()]++
		s.Attempts += int(t.Attempt)
	}
	return s
}

// A JobService forwards operators' calls to the owners of jobs.
type JobService interface {
	// SubmitJob returns once the job is durable.
	SubmitJob(ctx context.Context, id task.JobID, s task.Spec) (task.Phase, error)
	// CancelJob returns once the job no longer runs.
	CancelJob(ctx context.Context, id task.JobID) (task.Phase, error)
	// GetJob returns a job.
	GetJob(ctx context.Context, id task.JobID) (task.Job, error)
	// ListJobs returns the ids of all jobs; partial is true if some shards did not answer.
	ListJobs(ctx context.Context) (ids []task.JobID, partial bool, err error)
}

// A JobList is the answer to the query that lists all jobs.
type JobList struct {
	Jobs []task.JobID `json:"jobs"`
	// Partial is true if some shards did not answer.
	Partial bool `json:"partial"`
}

// HandleJobs registers the queries and commands for jobs.
func (s *Server) HandleJobs(x JobService) {
	s.Handle("POST "+PathJobs, func(w http.ResponseWriter, r *http.Request) {
		var j Job
		if err := json.NewDecoder(r.Body).Decode(&j); err != nil {
			ReplyError(w, http.StatusBadRequest, err)
			return
		}
		p, err := x.SubmitJob(r.Context(), j.ID, j.Spec())
		replyJobPhase(w, j.ID, p, err)
	})
	s.Handle("DELETE "+PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := task.JobID(r.PathValue("id"))
		p, err := x.CancelJob(r.Context(), id)
		replyJobPhase(w, id, p, err)
	})
	s.Handle("GET "+PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := task.JobID(r.PathValue("id"))
		j, err := x.GetJob(r.Context(), id)
		if err != nil {
			replyJobError(w, err)
			return
		}
		Reply(w, http.StatusOK, NewJobState(id, j))
	})
	s.Handle("GET "+PathJobs, func(w http.ResponseWriter, r *http.Request) {
		ids, partial, err := x.ListJobs(r.Context())
		if err != nil {
			replyJobError(w, err)
			return
		}
		Reply(w, http.StatusOK, JobList{Jobs: ids, Partial: partial})
	})
}

func replyJobPhase(w http.ResponseWriter, id task.JobID, p task.Phase, err error) {
	if err != nil {
		replyJobError(w, err)
		return
	}
	Reply(w, http.StatusOK, JobState{ID: id, Phase: p.String()})
}

// jobErrorStatuses maps the errors of job calls that prove that the call had no effect to HTTP
// statuses.
var jobErrorStatuses = []struct {
	err    error
	status int
}{
	{task.ErrConflict, http.StatusConflict},
	{task.ErrBadSpec, http.StatusUnprocessableEntity},
	{task.ErrUnknownJob, http.StatusNotFound},
	{task.ErrNotReady, http.StatusServiceUnavailable},
	{store.ErrUnavailable, http.StatusServiceUnavailable},
}

// replyJobError writes the error of a job call. The outcome is NotRun only if the call certainly had
// no effect, and Unknown otherwise.
func replyJobError(w http.ResponseWriter, err error) {
	for _, s := range jobErrorStatuses {
		if errors.Is(err, s.err) {
			Reply(w, s.status, ErrorAnswer{Error: err.Error(), Outcome: string(fleet.NotRun)})
			return
		}
	}
	Reply(w, http.StatusGatewayTimeout, ErrorAnswer{
		Error:   err.Error() + "; ask again with the same id",
		Outcome: string(fleet.Unknown),
	})
}

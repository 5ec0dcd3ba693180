package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// An Explanation tells where the tasks of a job would go now.
type Explanation struct {
	Steps []StepExplanation `json:"steps"`
}

// A StepExplanation tells where the tasks of one step would go now, if it were ready.
type StepExplanation struct {
	// Ready is set if the step depends on no other one. Steps that are ready share the free
	// capacity; each of the others is explained by itself.
	Ready bool `json:"ready"`
	// Placements are the workers that would be given tasks, in the order of their first task.
	Placements []Placement `json:"placements,omitempty"`
	// Waiting is how many tasks would find no worker.
	Waiting int `json:"waiting"`
	// Exclusions are the first reasons against each worker of the service for a waiting task; of
	// the first maxExplainedWaits steps with such tasks.
	Exclusions []WorkerExclusion `json:"exclusions,omitempty"`
}

// A Placement is a worker that would be given tasks of a step, with the main terms of its score
// before the first of them.
type Placement struct {
	Worker     string          `json:"worker"`
	DataCentre string          `json:"dataCentre"`
	Tasks      int             `json:"tasks"`
	Score      float64         `json:"score"`
	Free       batch.Resources `json:"free"`
	// SpareMilliCPU is the processor time left for best-effort tasks, in thousandths of a core.
	SpareMilliCPU int `json:"spareMilliCpu"`
	// Cold is set if the worker is slow after its start, and Remote if its rack isn't that of the data.
	Cold   bool `json:"cold,omitempty"`
	Remote bool `json:"remote,omitempty"`
}

// A WorkerExclusion is why a worker may not be given a task.
type WorkerExclusion struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"dataCentre"`
	Reason     string `json:"reason"`
}

// maxExplainedWaits bounds the steps of an explanation with reasons against each worker, so that
// it fits into one message.
const maxExplainedWaits = 16

// explainedJob is the ID under which a job is explained, which no submitted job has, so that
// its tasks aren't taken for those of one that runs.
const explainedJob batch.JobID = ""

// Explain tells where the tasks of a job would go now. It places the job as Schedule does, and takes
// that back: nothing is ordered, reserved or changed.
func (s *Scheduler) Explain(now time.Time, b *batch.Job) Explanation {
	described := *b
	described.ID, described.Repeat = explainedJob, 0
	j := newJob(&described)
	j.addedAt = now
	start := s.nextSearchStart
	defer func() { s.nextSearchStart = start }()
	defer func() { j.forEachRecord((*task).release) }()
	var steps []*step
	for i := range described.Steps {
		steps = append(steps, j.occurrences[0].step(i))
	}
	e := Explanation{Steps: make([]StepExplanation, len(steps))}
	for i, st := range steps {
		if len(st.DependsOn) == 0 {
			e.Steps[i] = s.explainStep(now, st)
			e.Steps[i].Ready = true
		}
	}
	j.forEachRecord((*task).release)
	for i, st := range steps {
		if len(st.DependsOn) > 0 {
			e.Steps[i] = s.explainStep(now, st)
			st.releaseAll()
		}
	}
	waits := 0
	for i := range e.Steps {
		if x := &e.Steps[i]; x.Waiting > 0 {
			if waits++; waits > maxExplainedWaits {
				x.Exclusions = nil
			}
		}
	}
	return e
}

// releaseAll releases the tasks of the step.
func (s *step) releaseAll() {
	for t := range s.records() {
		t.release()
	}
}

// explainStep places the tasks of a step and tells the outcome.
func (s *Scheduler) explainStep(now time.Time, st *step) StepExplanation {
	var e StepExplanation
	var o Orders
	scores := s.scores(now, st)
	s.placeStep(now, pendingStep{step: st, priority: s.queueConfig(st.job).Priority}, &o)
	at := map[batch.WorkerKey]int{}
	for _, x := range o.Starts {
		i, ok := at[x.Key]
		if !ok {
			w := s.workers[x.Key]
			i = len(e.Placements)
			at[x.Key] = i
			e.Placements = append(e.Placements, Placement{
				Worker: w.ID, DataCentre: w.DataCentre, Score: scores[w], Free: x.Reason.Free, SpareMilliCPU: x.Reason.SpareMilliCPU,
				Cold: now.Before(w.warmAt), Remote: st.DataRack != "" && w.Rack() != st.DataRack,
			})
		}
		e.Placements[i].Tasks++
	}
	if t := st.firstWaiting(); t != nil {
		e.Waiting, e.Exclusions = st.unassigned, s.exclusions(now, st, t)
	}
	return e
}

// scores returns the scores of the workers that may be given a task of the step.
func (s *Scheduler) scores(now time.Time, st *step) map[*worker]float64 {
	x := s.newSearch(now, st, "", nil)
	out := map[*worker]float64{}
	for _, w := range s.workerList {
		if v, e := x.evaluate(w); e == eligible {
			out[w] = v
		}
	}
	return out
}

// exclusions returns why the workers of the service may not be given t. A worker that may is
// left out by a gang that has no room as a whole.
func (s *Scheduler) exclusions(now time.Time, st *step, t *task) []WorkerExclusion {
	x := s.newSearch(now, st, "", nil)
	var out []WorkerExclusion
	for _, w := range s.workerList {
		if e := x.exclude(t, w); e != otherService {
			out = append(out, WorkerExclusion{Worker: w.ID, DataCentre: w.DataCentre, Reason: exclusionNames[e]})
		}
	}
	return out
}

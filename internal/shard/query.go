package shard

import (
	"context"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// Get returns a job of the shard, or task.ErrUnknownJob.
func (o *Owner) Get(ctx context.Context, id task.JobID) (task.Job, error) {
	var j task.Job
	var err error
	if e := o.runner.Query(ctx, func() { j, err = o.machine.Get(id) }); e != nil {
		return j, e
	}
	return j, err
}

// List returns the sorted IDs of the shard's jobs.
func (o *Owner) List(ctx context.Context) ([]task.JobID, error) {
	var ids []task.JobID
	err := o.runner.Query(ctx, func() { ids = o.machine.List() })
	return ids, err
}

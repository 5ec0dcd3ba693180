package dispatch

import (
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// CreationConditions are the conditions of the change that creates a job, or that stores the cancellation of one that
// doesn't exist: neither of them is in the store. Once one is, writes of the other that are carried out late fail.
func CreationConditions(id batch.JobID) []kv.Condition {
	return []kv.Condition{{Key: JobPrefix + string(id)}, {Key: CancelPrefix + string(id)}}
}

// CreationOutcome tells from the conflict of a change with CreationConditions what became of the job: Stored if it
// exists, Fenced if only its cancellation does, and StoreUnknown if the conflict doesn't show it.
func CreationOutcome(id batch.JobID, err error) link.StoreOutcome {
	var c *kv.Conflict
	if !errors.As(err, &c) {
		return link.StoreUnknown
	}
	if r, _ := c.Revision(JobPrefix + string(id)); r > 0 {
		return link.Stored
	}
	if r, _ := c.Revision(CancelPrefix + string(id)); r > 0 {
		return link.Fenced
	}
	return link.StoreUnknown
}

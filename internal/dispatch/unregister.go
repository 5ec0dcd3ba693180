package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/kv"
)

// unregisterTime bounds the three calls of an Unregister; a takeover takes longer.
const unregisterTime = 600 * time.Millisecond

// Unregister removes the key of a host without a session on which nothing runs,
// so that the next scheduler doesn't wait for it. The removal has no effect once
// another term has begun or the key was written anew.
func Unregister(ctx context.Context, s kv.Store, name string) error {
	ctx, cancel := context.WithTimeout(ctx, unregisterTime)
	defer cancel()
	epoch, err := s.Get(ctx, election.EpochKey)
	if err != nil {
		return errors.Wrap(err, "dispatch: unregister")
	}
	key := nodePrefix + name
	i, err := s.Get(ctx, key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return nil
	case err != nil:
		return errors.Wrap(err, "dispatch: unregister")
	}
	_, err = s.Apply(ctx, kv.Change{
		Conditions: []kv.Condition{{Key: election.EpochKey, Revision: epoch.Revision}, {Key: key, Revision: i.Revision}},
		Removes:    []string{key},
	})
	return errors.Wrap(err, "dispatch: unregister")
}

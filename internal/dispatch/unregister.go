package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/kv"
)

// unregisterTimeout bounds the three store calls of Unregister; it's below the time of a takeover.
const unregisterTimeout = 600 * time.Millisecond

// Unregister removes the key of a host that has no session and no runs, so that
// the next scheduler doesn't wait for it. It changes nothing if another term
// begins or the key is rewritten meanwhile.
func Unregister(ctx context.Context, s kv.Store, name string) error {
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
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

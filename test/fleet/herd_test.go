package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

// countedChanges is a store that counts how many changes are in progress.
type countedChanges struct {
	kv.Store
	now, peak atomic.Int64
}

func (s *countedChanges) Apply(ctx context.Context, c kv.Change) (kv.Revision, error) {
	n := s.now.Add(1)
	defer s.now.Add(-1)
	for p := s.peak.Load(); n > p && !s.peak.CompareAndSwap(p, n); p = s.peak.Load() {
	}
	return s.Store.Apply(ctx, c)
}

// maxStoreCalls is how many connections to the store a process has descriptors for.
const maxStoreCalls = 64

// The scheduler writes a key for each process that it doesn't know. All of them connect at once when
// a deployment starts, and each write in progress takes a connection to the store.
func TestStartOfADeploymentOpensFewConnectionsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 1, 150)
		defer r.close()
		for _, p := range r.procs {
			p.kill()
		}
		for _, i := range r.store.Items("sesame/node/") {
			r.store.Remove(i.Key)
		}
		entry, counted := r.procs[0], &countedChanges{}
		entry.wrapStore = func(s kv.Store) kv.Store {
			counted.Store = s
			return counted
		}
		// The farthest store answers after 70 ms.
		entry.store.Set(memory.Faults{Delay: 70 * time.Millisecond})
		entry.start()
		time.Sleep(5 * time.Second)
		for _, p := range r.procs[1:] {
			p.start()
		}
		time.Sleep(10 * time.Second)
		r.submitJobs(3)
		time.Sleep(15 * time.Second)
		r.checkCompleted(3)
		if n := counted.peak.Load(); n > maxStoreCalls {
			t.Errorf("%d changes of the store at once, want at most %d", n, maxStoreCalls)
		}
	})
}

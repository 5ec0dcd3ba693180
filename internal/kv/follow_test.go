package kv_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

// maxKeyChangeAge is the time within which a follower has to know a change of the keys while the
// store answers: the bound of an evacuation, 5 s, less 4 attempts of 0.46 s to start a task.
const maxKeyChangeAge = 5*time.Second - 4*460*time.Millisecond

// follower follows the keys below "p/" of a store and records what it's told.
type follower struct {
	store  memory.Store
	client memory.Client
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	keys  string
	calls int
}

func startFollower(given ...string) *follower {
	f := &follower{done: make(chan struct{}), keys: strings.Join(given, " ")}
	f.client.Store = &f.store
	for _, k := range given {
		f.store.Put(k, nil)
	}
	from := f.store.Put("other", nil)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.done)
		kv.FollowKeys(ctx, &f.client, "p/", slices.Clone(given), from, func(keys []string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.keys = strings.Join(keys, " ")
			f.calls++
		})
	}()
	return f
}

func (f *follower) stop() {
	f.cancel()
	<-f.done
}

func (f *follower) known() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys
}

// A follower that relies on the events of a watch alone never learns of a change that the watch
// hides, that falls into a failed call or that is gone from the history: a request stays unknown,
// or a removed one in force for good.
func TestFollowKeysLearnsOfEachChange(t *testing.T) {
	for name, disturb := range map[string]func(f *follower){
		"nothing fails":         func(*follower) {},
		"the watch is silent":   func(f *follower) { f.client.Set(memory.Faults{SuppressWatchEvents: true}) },
		"the store is slow":     func(f *follower) { f.client.Set(memory.Faults{Delay: 1200 * time.Millisecond}) },
		"a watch fails":         func(f *follower) { f.breakCalls(memory.Faults{Refuse: true}) },
		"a watch is unanswered": func(f *follower) { f.breakCalls(memory.Faults{Down: true}) },
		"history is compacted": func(f *follower) {
			f.breakCalls(memory.Faults{Refuse: true})
			f.store.Put("other", nil)
			f.store.Compact()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := startFollower("p/a")
				defer f.stop()
				time.Sleep(3300 * time.Millisecond)
				disturb(f)
				f.store.Put("p/b", nil)
				time.Sleep(maxKeyChangeAge)
				g.Expect(f.known()).To(Equal("p/a p/b"))
				f.store.Remove("p/a")
				time.Sleep(maxKeyChangeAge)
				g.Expect(f.known()).To(Equal("p/b"))
			})
		})
	}
}

// breakCalls injects faults and ends them after 200 ms.
func (f *follower) breakCalls(x memory.Faults) {
	f.client.Set(x)
	time.AfterFunc(200*time.Millisecond, func() { f.client.Set(memory.Faults{}) })
}

// A request that is removed and made again while the follower knows nothing of it isn't lost, and
// the last state is known.
func TestFollowKeysKnowsLastOfQuickChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startFollower()
		defer f.stop()
		time.Sleep(2100 * time.Millisecond)
		f.client.Set(memory.Faults{SuppressWatchEvents: true})
		for range 3 {
			f.store.Put("p/a", nil)
			f.store.Remove("p/a")
		}
		f.store.Put("p/a", nil)
		time.Sleep(maxKeyChangeAge)
		g.Expect(f.known()).To(Equal("p/a"))
	})
}

// An answer to a read that was made before a change, and arrives after the watch has told of the
// change, doesn't undo it.
func TestFollowKeysIgnoresOldReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &follower{done: make(chan struct{})}
		f.client.Store = &f.store
		from := f.store.Put("other", nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var told [][]string
		go func() {
			defer close(f.done)
			kv.FollowKeys(ctx, lateReads{&f.client}, "p/", nil, from, func(keys []string) { told = append(told, keys) })
		}()
		time.Sleep(1500 * time.Millisecond)
		f.store.Put("p/a", nil)
		time.Sleep(10 * time.Second)
		cancel()
		<-f.done
		g.Expect(told).To(Equal([][]string{{"p/a"}}))
	})
}

// lateReads is a store whose answers to reads of ranges arrive late.
type lateReads struct{ kv.Store }

func (s lateReads) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	items, at, err := s.Store.Range(ctx, prefix)
	select {
	case <-time.After(1500 * time.Millisecond):
	case <-ctx.Done():
		return nil, 0, kv.ErrUnknown
	}
	return items, at, err
}

// The store's calls are few, and unchanged keys aren't reported again and again.
func TestFollowKeysMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startFollower("p/a")
		defer f.stop()
		counted := &countedCalls{Store: &f.client}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			kv.FollowKeys(ctx, counted, "p/", []string{"p/a"}, f.store.Put("other", nil), func([]string) { t.Error("no key has changed") })
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		g.Expect(counted.calls).To(BeNumerically("<=", 2*20+2))
		g.Expect(f.calls).To(BeZero())
	})
}

type countedCalls struct {
	kv.Store
	mu    sync.Mutex
	calls int
}

func (s *countedCalls) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *countedCalls) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	s.count()
	return s.Store.Range(ctx, prefix)
}

func (s *countedCalls) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	s.count()
	return s.Store.Watch(ctx, prefix, after, wait)
}

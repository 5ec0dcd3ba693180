package kv_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

// keyFollower follows the key "k" of a store and records its last value.
type keyFollower struct {
	store  memory.Store
	client memory.Client
	calls  countedCalls

	mu    sync.Mutex
	value string
}

func followKey(t *testing.T) *keyFollower {
	f := &keyFollower{}
	f.client.Store = &f.store
	f.calls.Store = &f.client
	f.store.Put("k", []byte("first"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		kv.Follow(ctx, &f.calls, "k", 0, func(i kv.Item) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.value = string(i.Value)
		}, func(error) {})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *keyFollower) known() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Following a key takes about one call a second, whatever the age of the value and of the history.
func TestFollowMakesFewCalls(t *testing.T) {
	for name, disturb := range map[string]func(f *keyFollower){
		"quiet":                 func(*keyFollower) {},
		"other keys change":     func(f *keyFollower) { f.changeOthers() },
		"history was compacted": func(f *keyFollower) { f.store.Put("other", nil); f.store.Compact() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := followKey(t)
				time.Sleep(3500 * time.Millisecond)
				disturb(f)
				before := f.calls.number()
				time.Sleep(60 * time.Second)
				g.Expect(f.calls.number() - before).To(BeNumerically("<=", 60+3))
				g.Expect(f.known()).To(Equal("first"))
			})
		})
	}
}

// changeOthers changes another key ten times a second, for a minute.
func (f *keyFollower) changeOthers() {
	go func() {
		for range 600 {
			f.store.Put("other", nil)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func (s *countedCalls) number() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *countedCalls) Get(ctx context.Context, key string) (kv.Item, error) {
	s.count()
	return s.Store.Get(ctx, key)
}

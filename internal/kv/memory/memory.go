// Package memory keeps a store in memory, with the faults that the platform's
// store may show; tests use it with a paused clock.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv"
)

// A Store holds the keys. Its zero value is empty.
type Store struct {
	mu       sync.Mutex
	revision kv.Revision
	items    map[string]kv.Item
	leases   map[kv.LeaseID]*lease
	nextID   kv.LeaseID
	history  []kv.Item
	// compacted is the revision up to which the history is gone.
	compacted kv.Revision
	changed   chan struct{}
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Faults are what a client of the store meets. They may change at any time.
type Faults struct {
	// Down calls get no answer and have no effect.
	Down bool
	// Refuse calls are refused with nothing done.
	Refuse bool
	// LoseAnswers of changes and renewals, which are made.
	LoseAnswers bool
	// DropRenewals get no answer and have no effect.
	DropRenewals bool
	// ApplyDelay is how much later a change is made, without an answer.
	ApplyDelay time.Duration
	// Delay is how long each call takes.
	Delay time.Duration
	// SuppressWatchEvents watches hear of no change.
	SuppressWatchEvents bool
}

// A Client is one process's way to the store.
type Client struct {
	Store *Store

	mu     sync.Mutex
	faults Faults
	// set is closed once the faults change.
	set chan struct{}
}

var _ kv.Store = (*Client)(nil)

// Set changes the faults.
func (c *Client) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	if c.set != nil {
		close(c.set)
		c.set = nil
	}
}

// begin lets the faults act before a call.
func (c *Client) begin(ctx context.Context) (Faults, error) {
	f, _ := c.now()
	switch {
	case f.Down:
		<-ctx.Done()
		return f, kv.ErrUnknown
	case f.Refuse:
		return f, kv.ErrRefused
	case f.Delay > 0:
		select {
		case <-ctx.Done():
			return f, kv.ErrUnknown
		case <-time.After(f.Delay):
		}
	}
	return f, nil
}

func (s *Store) init() {
	if s.items == nil {
		s.items, s.leases = map[string]kv.Item{}, map[kv.LeaseID]*lease{}
		s.changed = make(chan struct{})
		s.revision = 1
	}
}

// note adds a change to the history and wakes the watches.
func (s *Store) note(i kv.Item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.history, s.compacted = nil, s.revision
}

// EndLeases ends all leases at once.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for id := range s.leases {
		s.end(id)
	}
}

func (s *Store) end(id kv.LeaseID) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.note(kv.Item{Key: key, Revision: s.revision, Removed: true})
}

// Put sets a key, as the operator does.
func (s *Store) Put(key string, value []byte) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	r, _ := s.apply(kv.Change{Puts: []kv.Put{{Key: key, Value: value}}})
	return r
}

// Items returns the keys below prefix, in order.
func (s *Store) Items(prefix string) []kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.list(prefix)
}

func (s *Store) list(prefix string) []kv.Item {
	var out []kv.Item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out
}

func (s *Store) apply(c kv.Change) (kv.Revision, error) {
	conflict := &kv.Conflict{}
	failed := false
	for _, x := range c.Conditions {
		i := s.items[x.Key]
		i.Key = x.Key
		conflict.Items = append(conflict.Items, i)
		failed = failed || i.Revision != x.Revision
	}
	if failed {
		return 0, conflict
	}
	for _, p := range c.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, kv.ErrNoLease
		}
	}
	s.revision++
	for _, p := range c.Puts {
		i := kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			i.Created = old.Created
		}
		s.items[p.Key] = i
		s.note(i)
	}
	for _, k := range c.Removes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.note(kv.Item{Key: k, Revision: s.revision, Removed: true})
		}
	}
	return s.revision, nil
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Item, error) {
	if _, err := c.begin(ctx); err != nil {
		return kv.Item{}, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	i, ok := s.items[key]
	if !ok {
		return kv.Item{}, kv.ErrNotFound
	}
	return i, nil
}

// Range implements kv.Store.
func (c *Client) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	if _, err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.list(prefix), s.revision, nil
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	if _, err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	s := c.Store
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		s.init()
		if after < s.compacted {
			s.mu.Unlock()
			return nil, 0, kv.ErrCompacted
		}
		var out []kv.Item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				out = append(out, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		f, set := c.now()
		if f.SuppressWatchEvents {
			out, at, changed = nil, after, nil
		}
		if len(out) > 0 {
			return out, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, kv.ErrUnknown
		case <-end.C:
			if f.Down {
				<-ctx.Done()
				return nil, 0, kv.ErrUnknown
			}
			return nil, at, nil
		case <-changed:
		case <-set:
		}
	}
}

// now returns the faults in force, and what is closed once others are.
func (c *Client) now() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set == nil {
		c.set = make(chan struct{})
	}
	return c.faults, c.set
}

// Apply implements kv.Store.
func (c *Client) Apply(ctx context.Context, x kv.Change) (kv.Revision, error) {
	f, err := c.begin(ctx)
	if err != nil {
		return 0, err
	}
	s := c.Store
	do := func() (kv.Revision, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.init()
		return s.apply(x)
	}
	if f.ApplyDelay > 0 {
		// Nobody hears what became of a late change.
		time.AfterFunc(f.ApplyDelay, func() { _, _ = do() })
		<-ctx.Done()
		return 0, kv.ErrUnknown
	}
	r, err := do()
	if f.LoseAnswers {
		<-ctx.Done()
		return 0, kv.ErrUnknown
	}
	return r, err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if _, err := c.begin(ctx); err != nil {
		return 0, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(id)
	})}
	return id, nil
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, id kv.LeaseID) error {
	f, err := c.begin(ctx)
	if err != nil {
		return err
	}
	if f.DropRenewals {
		<-ctx.Done()
		return kv.ErrUnknown
	}
	err = c.Store.renew(id)
	if f.LoseAnswers {
		<-ctx.Done()
		return kv.ErrUnknown
	}
	return err
}

func (s *Store) renew(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	l := s.leases[id]
	if l == nil {
		return kv.ErrNoLease
	}
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	if _, err := c.begin(ctx); err != nil {
		return err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.leases[id] == nil {
		return kv.ErrNoLease
	}
	s.end(id)
	return nil
}

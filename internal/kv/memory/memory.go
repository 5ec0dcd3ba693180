// Package memory implements the store in memory and injects the faults that the
// platform's store may show. Tests use it with a fake clock.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv"
)

// A Store holds the keys and leases. Its zero value is an empty store.
type Store struct {
	mu          sync.Mutex
	revision    kv.Revision
	items       map[string]kv.Item
	leases      map[kv.LeaseID]*lease
	nextLeaseID kv.LeaseID
	history     []kv.Item
	// compacted is the revision up to which the history is discarded.
	compacted kv.Revision
	// changed is closed, and replaced, by each change.
	changed chan struct{}
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Faults are the faults that a client of the store sees. They may change at any time.
type Faults struct {
	// Down leaves all calls without an answer and an effect.
	Down bool
	// Refuse makes all calls fail with ErrRefused and without an effect.
	Refuse bool
	// LoseAnswers makes changes and renewals take effect but drops their answers.
	LoseAnswers bool
	// DropRenewals leaves renewals without an answer and an effect.
	DropRenewals bool
	// ApplyDelay delays changes and drops their answers.
	ApplyDelay time.Duration
	// Delay delays each call before it takes effect.
	Delay time.Duration
	// SuppressWatchEvents hides all changes from watches.
	SuppressWatchEvents bool
	// SkipWatchEvents makes watches return the store's revision without the changes up to it.
	SkipWatchEvents bool
}

// A Client is the connection of one process to the store, with its own faults.
type Client struct {
	Store *Store

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed when the faults change; nil until it's used.
	faultsChanged chan struct{}
}

var _ kv.Store = (*Client)(nil)

// Set sets the faults and wakes the watches.
func (c *Client) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	if c.faultsChanged != nil {
		close(c.faultsChanged)
		c.faultsChanged = nil
	}
}

// applyFaults applies the faults that act before a call. It returns the faults, or
// the error with which the call fails.
func (c *Client) applyFaults(ctx context.Context) (Faults, error) {
	f, _ := c.currentFaults()
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

// init prepares the zero value for use. The caller holds s.mu.
func (s *Store) init() {
	if s.items == nil {
		s.items, s.leases = map[string]kv.Item{}, map[kv.LeaseID]*lease{}
		s.changed = make(chan struct{})
		s.revision = 1
	}
}

// appendHistory appends a change to the history and wakes the watches.
func (s *Store) appendHistory(i kv.Item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history.
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
		s.endLease(id)
	}
}

// endLease ends a lease and removes its keys.
func (s *Store) endLease(id kv.LeaseID) {
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

// remove removes a key, if it exists, at a new revision.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.appendHistory(kv.Item{Key: key, Revision: s.revision, Removed: true})
}

// Put sets a key without conditions, as an operator does.
func (s *Store) Put(key string, value []byte) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	r, _ := s.apply(kv.Change{Puts: []kv.Put{{Key: key, Value: value}}})
	return r
}

// Remove removes a key without conditions, as an operator does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.remove(key)
}

// Items returns the items below prefix, sorted by key.
func (s *Store) Items(prefix string) []kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.list(prefix)
}

// list returns the items below prefix, sorted by key.
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

// apply applies a change, or returns a Conflict or ErrNoLease.
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
		s.appendHistory(i)
	}
	for _, k := range c.Removes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.appendHistory(kv.Item{Key: k, Revision: s.revision, Removed: true})
		}
	}
	return s.revision, nil
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Item, error) {
	if _, err := c.applyFaults(ctx); err != nil {
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
	if _, err := c.applyFaults(ctx); err != nil {
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
	if _, err := c.applyFaults(ctx); err != nil {
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
		f, faultsChanged := c.currentFaults()
		switch {
		case f.SuppressWatchEvents:
			out, at, changed = nil, after, nil
		case f.SkipWatchEvents:
			out, changed = nil, nil
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
		case <-faultsChanged:
		}
	}
}

// currentFaults returns the faults in force and a channel that is closed when they change.
func (c *Client) currentFaults() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultsChanged == nil {
		c.faultsChanged = make(chan struct{})
	}
	return c.faults, c.faultsChanged
}

// Apply implements kv.Store.
func (c *Client) Apply(ctx context.Context, x kv.Change) (kv.Revision, error) {
	f, err := c.applyFaults(ctx)
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
		// The result of a delayed change is dropped.
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
	if _, err := c.applyFaults(ctx); err != nil {
		return 0, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.nextLeaseID++
	id := s.nextLeaseID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	return id, nil
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, id kv.LeaseID) error {
	f, err := c.applyFaults(ctx)
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
	if _, err := c.applyFaults(ctx); err != nil {
		return err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.leases[id] == nil {
		return kv.ErrNoLease
	}
	s.endLease(id)
	return nil
}

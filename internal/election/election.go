// Package election elects the scheduler by a leased key in the store. The lease
// only keeps other processes from taking over; the epoch makes a second scheduler
// harmless, as workers and conditional changes in the store check it.
package election

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/kv"
)

// Keys of the election in the store.
const (
	// leaderKey holds the current leader, under its lease.
	leaderKey = "sesame/lead"
	// EpochKey is rewritten by each new term. Its revision is the epoch that fences the
	// scheduler's changes.
	EpochKey = "sesame/epoch"
)

// storeCallTimeout bounds a call to the store; it's above the response time from the farthest region when the store is slow.
const storeCallTimeout = 600 * time.Millisecond

// ErrLeaderExists is returned if another process is the leader.
var ErrLeaderExists = errors.New("election: another process is the leader")

// A Leader is the elected scheduler as recorded in the store.
type Leader struct {
	Node    string         `json:"node"`
	Address netip.AddrPort `json:"address"`
}

// An Elector reads the current leader and acquires leadership.
type Elector struct {
	Store   kv.Store
	Node    string
	Address netip.AddrPort
	// TTL is the duration of the leader lease.
	TTL time.Duration
	// Strongest returns the strength of the strongest known process. It's stored for
	// processes that start while there is no leader; nil stores none.
	Strongest func() float64
}

// epochRecord is the value of EpochKey.
type epochRecord struct {
	Node string `json:"node"`
	// Address is missing in records of earlier versions.
	Address   netip.AddrPort `json:"address,omitzero"`
	Strongest float64        `json:"strongest,omitempty"`
}

// LastStrongest returns the strength of the strongest process known when the
// last term began, or 0 if there is none.
func (e *Elector) LastStrongest(ctx context.Context) (float64, error) {
	c, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	i, err := e.Store.Get(c, EpochKey)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var x epochRecord
	if err := json.Unmarshal(i.Value, &x); err != nil {
		return 0, errors.Wrap(err, "election: decode epoch")
	}
	return x.Strongest, nil
}

// Current returns the current leader, or kv.ErrNotFound if there is none.
func (e *Elector) Current(ctx context.Context) (Leader, error) {
	c, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	i, err := e.Store.Get(c, leaderKey)
	if err != nil {
		return Leader{}, err
	}
	var l Leader
	if err := json.Unmarshal(i.Value, &l); err != nil {
		return Leader{}, errors.Wrap(err, "election: decode leader")
	}
	return l, nil
}

// TryAcquire begins a new term if there is no leader, or returns ErrLeaderExists.
func (e *Elector) TryAcquire(ctx context.Context) (*Term, error) {
	c, cancel := context.WithTimeout(ctx, 4*storeCallTimeout)
	defer cancel()
	var before kv.Revision
	var value []byte
	switch i, err := e.Store.Get(c, EpochKey); {
	case err == nil:
		before, value = i.Revision, i.Value
	case !errors.Is(err, kv.ErrNotFound):
		return nil, err
	}
	t := &Term{elector: e, lost: make(chan struct{})}
	if before != 0 {
		t.Previous.Epoch = before
		// The leader is only used to end a wait early.
		var x epochRecord
		if json.Unmarshal(value, &x) == nil {
			t.Previous.Leader = Leader{Node: x.Node, Address: x.Address}
		}
	}
	r, err := t.acquire(c, before, true)
	if err != nil {
		return nil, err
	}
	t.Epoch = r
	return t, nil
}

// A PreviousTerm is a term as recorded in the store at the beginning of the next one.
type PreviousTerm struct {
	Epoch kv.Revision
	// Leader is its leader; the zero value if unknown.
	Leader Leader
}

// A Term is the period in which one process is the leader under one epoch.
type Term struct {
	// Epoch is higher than that of all earlier terms.
	Epoch kv.Revision
	// Previous is the term before; its epoch is 0 if there was none.
	Previous PreviousTerm
	elector  *Elector

	// reacquireMu is held while leadership is reacquired.
	reacquireMu sync.Mutex
	// mu guards lease and lastContact.
	mu          sync.Mutex
	lease       kv.LeaseID
	lastContact time.Time
	loseOnce    sync.Once
	lost        chan struct{}
}

// acquire writes the leader key under a new lease, on the condition that there is
// no leader and that EpochKey has the revision epoch. If newEpoch is set, it also
// writes EpochKey. It returns the revision of the change.
func (t *Term) acquire(ctx context.Context, epoch kv.Revision, newEpoch bool) (kv.Revision, error) {
	e := t.elector
	at := time.Now()
	lease, err := e.Store.Grant(ctx, e.TTL)
	if err != nil {
		return 0, err
	}
	v, err := json.Marshal(Leader{Node: e.Node, Address: e.Address})
	if err != nil {
		return 0, errors.Wrap(err, "election: encode")
	}
	c := kv.Change{
		Conditions: []kv.Condition{{Key: leaderKey}, {Key: EpochKey, Revision: epoch}},
		Puts:       []kv.Put{{Key: leaderKey, Value: v, Lease: lease}},
	}
	if newEpoch {
		x := epochRecord{Node: e.Node, Address: e.Address}
		if e.Strongest != nil {
			x.Strongest = e.Strongest()
		}
		v, err := json.Marshal(x)
		if err != nil {
			return 0, errors.Wrap(err, "election: encode")
		}
		c.Puts = append(c.Puts, kv.Put{Key: EpochKey, Value: v})
	}
	r, err := e.Store.Apply(ctx, c)
	if errors.Is(err, kv.ErrUnknown) {
		// The answer was lost: read the key to see whether the change was made.
		var i kv.Item
		if i, err = e.Store.Get(ctx, leaderKey); err == nil && i.Lease == lease {
			r = i.Revision
		} else {
			err = errors.Wrap(kv.ErrRefused, "election: acquire")
		}
	}
	if err != nil {
		// A lease that can't be revoked expires by itself.
		_ = e.Store.Revoke(ctx, lease)
		if errors.Is(err, kv.ErrConflict) {
			err = ErrLeaderExists
		}
		return 0, err
	}
	t.mu.Lock()
	t.lease, t.lastContact = lease, at
	t.mu.Unlock()
	return r, nil
}

// LastContact returns when the last call that confirmed the lease was sent.
func (t *Term) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact
}

// Lost returns a channel that is closed when the term ends, as another one may have begun.
func (t *Term) Lost() <-chan struct{} { return t.lost }

// IsLost reports whether the term has ended.
func (t *Term) IsLost() bool {
	select {
	case <-t.lost:
		return true
	default:
		return false
	}
}

// Lose ends the term; it's called when a newer epoch is known or the leadership is given up.
func (t *Term) Lose() { t.loseOnce.Do(func() { close(t.lost) }) }

// renewalsPerTTL is how often the lease is renewed within its TTL.
const renewalsPerTTL = 4

// KeepAlive renews the lease until ctx ends or the term is lost. The term continues
// while the store is unavailable. If the lease expires meanwhile and no other term
// begins, leadership is acquired again under the same epoch.
func (t *Term) KeepAlive(ctx context.Context) {
	tick := time.NewTicker(t.elector.TTL / renewalsPerTTL)
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.lost:
			return
		case <-tick.C:
		}
		// A call without an answer mustn't delay the next renewal.
		calls.Go(func() { t.renew(ctx) })
	}
}

// renew renews the lease once and reacquires leadership if the lease has expired.
func (t *Term) renew(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	at := time.Now()
	err := t.elector.Store.Renew(c, lease)
	switch {
	case err == nil:
		t.recordContact(at)
	case errors.Is(err, kv.ErrNoLease):
		t.reacquire(ctx, lease)
	default:
		// Only the answer may be lost: read the key to see whether the lease still holds.
		c, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		at := time.Now()
		i, err := t.elector.Store.Get(c, leaderKey)
		switch {
		case err == nil && i.Lease == lease:
			t.recordContact(at)
		case err == nil:
			t.loseIfSuperseded(ctx)
		}
	}
}

// recordContact records that a call sent at the given time confirmed the lease.
func (t *Term) recordContact(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.lastContact) {
		t.lastContact = at
	}
}

// reacquire acquires leadership again after the lease expired, unless another
// call is doing so or has done so.
func (t *Term) reacquire(ctx context.Context, ended kv.LeaseID) {
	if !t.reacquireMu.TryLock() {
		return
	}
	defer t.reacquireMu.Unlock()
	t.mu.Lock()
	expired := t.lease == ended
	t.mu.Unlock()
	if !expired {
		return
	}
	c, cancel := context.WithTimeout(ctx, 3*storeCallTimeout)
	defer cancel()
	if _, err := t.acquire(c, t.Epoch, false); errors.Is(err, ErrLeaderExists) {
		t.loseIfSuperseded(c)
	}
}

// loseIfSuperseded ends the term if the store has another epoch.
func (t *Term) loseIfSuperseded(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if i, err := t.elector.Store.Get(c, EpochKey); err == nil && i.Revision != t.Epoch {
		t.Lose()
	}
}

// Resign gives up the leadership, so that another process can acquire it at once.
func (t *Term) Resign(ctx context.Context) {
	t.Lose()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	// A lease that can't be revoked expires by itself.
	_ = t.elector.Store.Revoke(c, lease)
}

// Package election chooses the one scheduler by a leased key of the store. The
// store only keeps others from trying; what makes two schedulers harmless is
// the epoch, which workers and the store's conditions check.
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

// The keys of the election.
const (
	leadKey = "sesame/lead"
	// EpochKey is the key whose revision fences the scheduler's own changes.
	EpochKey = "sesame/epoch"
)

// callTimeout bounds a call to the store; it's above the store's answer from the farthest region on a slow day.
const callTimeout = 600 * time.Millisecond

// ErrLeaderExists is returned where another process leads.
var ErrLeaderExists = errors.New("election: taken")

// A Leader is the scheduler that the store names.
type Leader struct {
	Node    string         `json:"node"`
	Address netip.AddrPort `json:"address"`
}

// An Elector reads and takes the lead.
type Elector struct {
	Store   kv.Store
	Node    string
	Address netip.AddrPort
	// TTL is the store's lease on the lead.
	TTL time.Duration
	// Strongest returns the strength of the strongest process known, which is
	// kept for those that start while nobody leads; nil keeps none.
	Strongest func() float64
}

// epochRecord is what the key of the epoch holds.
type epochRecord struct {
	Node      string  `json:"node"`
	Strongest float64 `json:"strongest,omitempty"`
}

// LastStrongest returns the strength of the strongest process known when the
// last term began, 0 where nothing is known.
func (e *Elector) LastStrongest(ctx context.Context) (float64, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
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
		return 0, errors.Wrap(err, "election: epoch")
	}
	return x.Strongest, nil
}

// Current returns the leader, or kv.ErrNotFound.
func (e *Elector) Current(ctx context.Context) (Leader, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i, err := e.Store.Get(c, leadKey)
	if err != nil {
		return Leader{}, err
	}
	var l Leader
	if err := json.Unmarshal(i.Value, &l); err != nil {
		return Leader{}, errors.Wrap(err, "election: lead")
	}
	return l, nil
}

// TryAcquire takes the lead if nobody has it, or returns ErrTaken.
func (e *Elector) TryAcquire(ctx context.Context) (*Term, error) {
	c, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var before kv.Revision
	switch i, err := e.Store.Get(c, EpochKey); {
	case err == nil:
		before = i.Revision
	case !errors.Is(err, kv.ErrNotFound):
		return nil, err
	}
	t := &Term{elector: e, lost: make(chan struct{})}
	r, err := t.take(c, before, true)
	if err != nil {
		return nil, err
	}
	t.Epoch = r
	return t, nil
}

// A Term is the time in which one process leads.
type Term struct {
	// Epoch is above that of all terms before.
	Epoch   kv.Revision
	elector *Elector

	taking  sync.Mutex
	mu      sync.Mutex
	lease   kv.LeaseID
	contact time.Time
	once    sync.Once
	lost    chan struct{}
}

// take writes the lead; first also opens a new epoch.
func (t *Term) take(ctx context.Context, epoch kv.Revision, first bool) (kv.Revision, error) {
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
		Conditions: []kv.Condition{{Key: leadKey}, {Key: EpochKey, Revision: epoch}},
		Puts:       []kv.Put{{Key: leadKey, Value: v, Lease: lease}},
	}
	if first {
		x := epochRecord{Node: e.Node}
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
		// The answer was lost: the key tells whether the change was made.
		var i kv.Item
		if i, err = e.Store.Get(ctx, leadKey); err == nil && i.Lease == lease {
			r = i.Revision
		} else {
			err = errors.Wrap(kv.ErrRefused, "election: take")
		}
	}
	if err != nil {
		// A lease that can't be ended runs out by itself.
		_ = e.Store.Revoke(ctx, lease)
		if errors.Is(err, kv.ErrConflict) {
			err = ErrLeaderExists
		}
		return 0, err
	}
	t.mu.Lock()
	t.lease, t.contact = lease, at
	t.mu.Unlock()
	return r, nil
}

// LastContact returns when the last renewal that succeeded was sent.
func (t *Term) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contact
}

// Lost is closed once another term may have begun.
func (t *Term) Lost() <-chan struct{} { return t.lost }

// Lose ends the term: a newer epoch was heard of.
func (t *Term) Lose() { t.once.Do(func() { close(t.lost) }) }

// renewals is how often a lease is renewed in its time.
const renewals = 4

// KeepAlive renews the lease until ctx ends or the term is lost. While the store is
// away the term goes on; if its lease has ended meanwhile and no other term
// began, it's taken up again under the same epoch.
func (t *Term) KeepAlive(ctx context.Context) {
	tick := time.NewTicker(t.elector.TTL / renewals)
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
		// A call whose answer is lost delays no other.
		calls.Go(func() { t.renew(ctx) })
	}
}

func (t *Term) renew(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	at := time.Now()
	err := t.elector.Store.Renew(c, lease)
	switch {
	case err == nil:
		t.reached(at)
	case errors.Is(err, kv.ErrNoLease):
		t.retake(ctx, lease)
	default:
		// The answer may be lost alone: the key tells whether the lease goes on.
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		at := time.Now()
		i, err := t.elector.Store.Get(c, leadKey)
		switch {
		case err == nil && i.Lease == lease:
			t.reached(at)
		case err == nil:
			t.superseded(ctx)
		}
	}
}

func (t *Term) reached(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.contact) {
		t.contact = at
	}
}

// retake takes the lead up again, one call at a time.
func (t *Term) retake(ctx context.Context, ended kv.LeaseID) {
	if !t.taking.TryLock() {
		return
	}
	defer t.taking.Unlock()
	t.mu.Lock()
	again := t.lease == ended
	t.mu.Unlock()
	if !again {
		return
	}
	c, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	if _, err := t.take(c, t.Epoch, false); errors.Is(err, ErrLeaderExists) {
		t.superseded(c)
	}
}

// superseded loses the term if a newer one has begun.
func (t *Term) superseded(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if i, err := t.elector.Store.Get(c, EpochKey); err == nil && i.Revision != t.Epoch {
		t.Lose()
	}
}

// Resign gives the lead up, so that another process takes it at once.
func (t *Term) Resign(ctx context.Context) {
	t.Lose()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A lease that can't be ended runs out by itself.
	_ = t.elector.Store.Revoke(c, lease)
}

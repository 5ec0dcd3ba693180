package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
)

const (
	// renewalsPerTTL is the minimum number of renewals that are tried within one time to live.
	renewalsPerTTL = 3
	// DefaultClockDrift is the fraction by which the rates of two clocks may differ.
	DefaultClockDrift = 0.02
)

// A Lease obtains and renews one lease of the store. Its exported fields are set before Run.
//
// The holder counts the time to live from the sending of a renewal, so that the lease expires for the
// holder before it expires in the store.
type Lease struct {
	Store Leaser
	// TTL is the time to live that the store grants.
	TTL time.Duration
	// ClockDrift is the fraction by which the holder shortens TTL to allow for differing clock rates; 0
	// means DefaultClockDrift.
	ClockDrift float64
	// Needed reports whether the lease is needed; while it is not, Run makes no calls. Nil means always.
	Needed func() bool
	// OnChange, if not nil, is called after the lease was granted, renewed or lost.
	OnChange func()

	mu        sync.Mutex
	id        LeaseID
	expiresAt time.Time
}

// Run obtains the lease and renews it until ctx ends, and then revokes it.
func (l *Lease) Run(ctx context.Context) error {
	b := NewBackOff()
	for {
		wait := l.TTL/(2*renewalsPerTTL) + rand.N(l.TTL/(2*renewalsPerTTL)) //nolint:gosec // Jitter needs no secret.
		switch {
		case l.Needed != nil && !l.Needed():
			l.dropLapsed()
		case l.Refresh(ctx) != nil:
			wait = min(b.NextBackOff(), wait)
		default:
			b.Reset()
		}
		if !steady.Sleep(ctx, wait) {
			break
		}
	}
	l.revoke(ctx)
	return nil
}

// dropLapsed clears the lease if it has lapsed.
func (l *Lease) dropLapsed() {
	if l.ID() != "" && !l.Held(time.Now()) {
		l.setState("", time.Time{})
	}
}

// Refresh renews the lease, or requests a new one if there is none.
func (l *Lease) Refresh(ctx context.Context) error {
	id := l.ID()
	sent := time.Now()
	var err error
	if id == "" {
		id, err = l.Store.Grant(ctx, l.TTL)
	} else {
		err = l.Store.Renew(ctx, id)
	}
	switch {
	case errors.Is(err, ErrLeaseLapsed):
		l.setState("", time.Time{})
	case err == nil:
		l.setState(id, sent.Add(l.validity()))
	}
	return err
}

// validity returns how long the lease is valid for its holder after the sending of a renewal.
func (l *Lease) validity() time.Duration {
	d := l.ClockDrift
	if d == 0 {
		d = DefaultClockDrift
	}
	return time.Duration(float64(l.TTL) * (1 - d))
}

// setState replaces the lease and its end, and calls OnChange.
func (l *Lease) setState(id LeaseID, until time.Time) {
	l.mu.Lock()
	l.id, l.expiresAt = id, until
	l.mu.Unlock()
	if l.OnChange != nil {
		l.OnChange()
	}
}

// revoke revokes the lease, also if ctx has ended, within the time of one renewal. If that fails, the
// lease lapses in the store.
func (l *Lease) revoke(ctx context.Context) {
	id := l.ID()
	l.setState("", time.Time{})
	if id == "" {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.TTL/renewalsPerTTL)
	defer cancel()
	_ = l.Store.Revoke(c, id)
}

// ID returns the ID of the lease, or "" if there is none.
func (l *Lease) ID() LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// Held reports whether the lease is held at now. The holder must check it before each action that
// depends on the lease.
func (l *Lease) Held(now time.Time) bool {
	return now.Before(l.ExpiresAt())
}

// ExpiresAt returns the time at which the lease ends for its holder unless it is renewed.
func (l *Lease) ExpiresAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiresAt
}

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
	// renewals is how many renewals are tried within one time to live.
	renewals = 3
	// DefaultClockDrift is the part by which two clocks may differ in speed.
	DefaultClockDrift = 0.02
)

// A Lease keeps one lease of the store. Its fields are set before Run.
//
// It counts from the moment a renewal was asked for, so that the holder
// believes in the lease for less long than the store does.
type Lease struct {
	Store Leaser
	// TTL is the time to live the store grants.
	TTL time.Duration
	// ClockDrift is the part of TTL given up for clocks of other speed, DefaultDrift where it is 0.
	ClockDrift float64
	// Needed reports whether the lease is needed; while it is not, no call is made. Nil means always.
	Needed func() bool
	// OnChange is called after the lease was granted, renewed or lost, where it is not nil.
	OnChange func()

	mu    sync.Mutex
	id    LeaseID
	until time.Time
}

// Run grants the lease and renews it until ctx ends, and then revokes it.
func (l *Lease) Run(ctx context.Context) error {
	b := NewBackOff()
	for {
		wait := l.TTL/(2*renewals) + rand.N(l.TTL/(2*renewals)) //nolint:gosec // Jitter needs no secret.
		switch {
		case l.Needed != nil && !l.Needed():
			l.drop()
		case l.Refresh(ctx) != nil:
			wait = min(b.NextBackOff(), wait)
		default:
			b.Reset()
		}
		if !steady.Sleep(ctx, wait) {
			break
		}
	}
	l.end(ctx)
	return nil
}

// drop forgets a lease that is not wanted once it has lapsed.
func (l *Lease) drop() {
	if l.ID() != "" && !l.Held(time.Now()) {
		l.set("", time.Time{})
	}
}

// Refresh renews the lease, or asks for a new one where there is none.
func (l *Lease) Refresh(ctx context.Context) error {
	id := l.ID()
	asked := time.Now()
	var err error
	if id == "" {
		id, err = l.Store.Grant(ctx, l.TTL)
	} else {
		err = l.Store.Renew(ctx, id)
	}
	switch {
	case errors.Is(err, ErrLeaseLapsed):
		l.set("", time.Time{})
	case err == nil:
		l.set(id, asked.Add(l.span()))
	}
	return err
}

// span returns for how long a renewal is believed in.
func (l *Lease) span() time.Duration {
	d := l.ClockDrift
	if d == 0 {
		d = DefaultClockDrift
	}
	return time.Duration(float64(l.TTL) * (1 - d))
}

// set takes over a new state.
func (l *Lease) set(id LeaseID, until time.Time) {
	l.mu.Lock()
	l.id, l.until = id, until
	l.mu.Unlock()
	if l.OnChange != nil {
		l.OnChange()
	}
}

// end revokes the lease, for at most a renewal's time after ctx ended.
// Where that fails the lease lapses by itself.
func (l *Lease) end(ctx context.Context) {
	id := l.ID()
	l.set("", time.Time{})
	if id == "" {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.TTL/renewals)
	defer cancel()
	_ = l.Store.Revoke(c, id)
}

// ID returns the lease, or "" if there is none.
func (l *Lease) ID() LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// Held reports whether the lease is held at now, which the holder asks before each act.
func (l *Lease) Held(now time.Time) bool {
	return now.Before(l.ExpiresAt())
}

// ExpiresAt returns when the lease ends unless it is renewed.
func (l *Lease) ExpiresAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

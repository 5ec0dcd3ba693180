package target

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrNoTarget is returned if no target of the host can take a request of the kind.
// Its text is the reason in the refusal to the caller.
var ErrNoTarget = errors.New("target: none serves this kind")

// A Registry holds the targets of a host that have announced themselves.
type Registry struct {
	mu      sync.Mutex
	targets map[string]*registration
}

// A registration is a target's latest announcement and its use.
type registration struct {
	Announcement
	expires time.Time
	// inFlight is the number of requests that the target is serving.
	inFlight int
	// idle is closed once inFlight is 0; nil if nobody waits for that.
	idle chan struct{}
}

// Announce registers a target or renews its registration.
func (r *Registry) Announce(now time.Time, a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets == nil {
		r.targets = make(map[string]*registration)
	}
	if r.countKinds(now, a) > MaxKinds {
		return errors.Wrap(ErrBadAnnouncement, "the host's targets would serve more than 16 kinds together")
	}
	e := r.targets[a.ID]
	if e == nil {
		e = &registration{}
		r.targets[a.ID] = e
	}
	e.Announcement = a
	e.expires = now.Add(AnnounceTimeout)
	return nil
}

// countKinds returns the number of kinds that the host would serve with a registered.
func (r *Registry) countKinds(now time.Time, a Announcement) int {
	kinds := slices.Clone(a.Kinds)
	for id, e := range r.targets {
		if id != a.ID && !now.After(e.expires) {
			kinds = append(kinds, e.Kinds...)
		}
	}
	slices.Sort(kinds)
	return len(slices.Compact(kinds))
}

// Expire removes the targets whose announcement has expired, unless they still
// serve requests.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.targets {
		if now.After(e.expires) && e.inFlight == 0 {
			delete(r.targets, id)
		}
	}
}

// Acquire returns the target of a kind with the lowest share of its connections in
// use, and counts one request to it. The caller calls Release with the target's ID
// when the request is over.
func (r *Registry) Acquire(now time.Time, k fleet.Kind) (Announcement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var leastBusy *registration
	for _, e := range r.targets {
		if !e.serves(now, k) || e.inFlight >= e.Connections {
			continue
		}
		if leastBusy == nil || e.inFlight*leastBusy.Connections < leastBusy.inFlight*e.Connections {
			leastBusy = e
		}
	}
	if leastBusy == nil {
		return Announcement{}, ErrNoTarget
	}
	leastBusy.inFlight++
	return leastBusy.Announcement, nil
}

// Release counts one request to a target as over.
func (r *Registry) Release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[id]
	if e == nil {
		return
	}
	e.inFlight--
	if e.inFlight == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// AwaitIdle waits until no request to a target is in flight, or until ctx ends. A
// request counts from the moment at which its target was chosen.
func (r *Registry) AwaitIdle(ctx context.Context, id string) {
	r.mu.Lock()
	e := r.targets[id]
	if e == nil || e.inFlight == 0 {
		r.mu.Unlock()
		return
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	idle := e.idle
	r.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// serves reports whether the target accepts requests of a kind at now.
func (e *registration) serves(now time.Time, k fleet.Kind) bool {
	return !e.Leaving && !now.After(e.expires) && slices.Contains(e.Kinds, k)
}

// Kinds returns the kinds that the targets serve at now, sorted.
func (r *Registry) Kinds(now time.Time) []fleet.Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kinds []fleet.Kind
	for _, e := range r.targets {
		for _, k := range e.Kinds {
			if e.serves(now, k) && !slices.Contains(kinds, k) {
				kinds = append(kinds, k)
			}
		}
	}
	slices.Sort(kinds)
	return kinds
}

// Connections returns how many requests the targets serve at once, together.
func (r *Registry) Connections(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.targets {
		if !e.Leaving && !now.After(e.expires) {
			n += e.Connections
		}
	}
	return n
}

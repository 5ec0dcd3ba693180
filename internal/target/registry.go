package target

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrNoTarget is returned where no target of the host serves a kind.
var ErrNoTarget = errors.New("target: none serves this kind")

// A Registry holds the targets that have announced themselves.
type Registry struct {
	mu      sync.Mutex
	targets map[string]*entry
}

type entry struct {
	Announcement
	until    time.Time
	inFlight int
}

// Announce takes an announcement at now.
func (r *Registry) Announce(now time.Time, a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets == nil {
		r.targets = make(map[string]*entry)
	}
	if r.kindsWith(now, a) > MaxKinds {
		return errors.Wrap(ErrBadAnnouncement, "the host's targets would serve more than 16 kinds together")
	}
	e := r.targets[a.ID]
	if e == nil {
		e = &entry{}
		r.targets[a.ID] = e
	}
	e.Announcement = a
	e.until = now.Add(AnnounceTimeout)
	return nil
}

// kindsWith counts the kinds of the host once a is taken.
func (r *Registry) kindsWith(now time.Time, a Announcement) int {
	kinds := slices.Clone(a.Kinds)
	for id, e := range r.targets {
		if id != a.ID && !now.After(e.until) {
			kinds = append(kinds, e.Kinds...)
		}
	}
	slices.Sort(kinds)
	return len(slices.Compact(kinds))
}

// Expire drops the targets that have not announced themselves in time.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.targets {
		if now.After(e.until) && e.inFlight == 0 {
			delete(r.targets, id)
		}
	}
}

// Acquire returns the least busy target of a kind and counts one request to it;
// the caller calls Give with the same ID when it is over.
func (r *Registry) Acquire(now time.Time, k fleet.Kind) (Announcement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *entry
	for _, e := range r.targets {
		if !e.serves(now, k) || e.inFlight >= e.Connections {
			continue
		}
		if best == nil || e.inFlight*best.Connections < best.inFlight*e.Connections {
			best = e
		}
	}
	if best == nil {
		return Announcement{}, ErrNoTarget
	}
	best.inFlight++
	return best.Announcement, nil
}

// Release ends one request to a target.
func (r *Registry) Release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.targets[id]; e != nil {
		e.inFlight--
	}
}

func (e *entry) serves(now time.Time, k fleet.Kind) bool {
	return !e.Leaving && !now.After(e.until) && slices.Contains(e.Kinds, k)
}

// Kinds returns the kinds that can be served now, sorted.
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

// Connections returns how many requests the targets take together.
func (r *Registry) Connections(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.targets {
		if !e.Leaving && !now.After(e.until) {
			n += e.Connections
		}
	}
	return n
}

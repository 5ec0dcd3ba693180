package member

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	suspicionFactor = 3
	suspicionSpan   = 4
	accusersNeeded  = 3
	maxHealth       = 8
)

// refute answers a statement about this process.
func (m *Machine) refute(u *Update) {
	switch {
	case u.Identity.Incarnation > m.me.life.Incarnation:
		m.supersede(u.Identity.Incarnation)
	case u.Identity.Incarnation < m.me.life.Incarnation, m.leaving:
	case u.State == Left:
		m.supersede(u.Identity.Incarnation)
	case u.State != Alive && u.Version >= m.me.version:
		m.worsen(1)
		m.raise(u.Version + 1)
	}
}

func (m *Machine) supersede(i fleet.Incarnation) {
	if i <= m.newest {
		return
	}
	m.newest = i
	m.out = append(m.out, Superseded{Incarnation: i})
}

// accuse suspects r on the evidence of this process.
func (m *Machine) accuse(r *record) {
	u := Update{State: Suspect, Identity: r.life, Version: r.version, SuspectedBy: m.me.life.ID}
	m.merge(&u)
}

// suspect starts or ends the suspicion of r as its state says.
func (m *Machine) suspect(r *record, accuser fleet.ID) {
	m.suspects = without(m.suspects, r)
	r.accusers, r.deadline = nil, time.Time{}
	if r.state != Suspect {
		return
	}
	m.suspects = append(m.suspects, r)
	r.accusers = []fleet.ID{accuser}
	r.deadline = m.now.Add(m.suspicionTime(0))
}

// support shortens the suspicion of r when another member shares it.
func (m *Machine) support(r *record, accuser fleet.ID) {
	if accuser == "" || len(r.accusers) > accusersNeeded || slices.Contains(r.accusers, accuser) {
		return
	}
	r.accusers = append(r.accusers, accuser)
	r.deadline = r.since.Add(m.suspicionTime(len(r.accusers) - 1))
	m.spread(r)
}

// suspicionTime returns how long a suspicion lasts that c further members share:
// max - (max-min) log(c+1)/log(k+1), as in Lifeguard, with min growing with log n as in SWIM.
func (m *Machine) suspicionTime(c int) time.Duration {
	n := len(m.ring) + 1
	least := suspicionFactor * max(1, math.Log10(float64(n))) * float64(ProbeInterval)
	k := min(accusersNeeded, n-3)
	if k < 1 {
		return time.Duration(least)
	}
	f := min(1, math.Log(float64(c+1))/math.Log(float64(k+1)))
	return time.Duration(least * (suspicionSpan - (suspicionSpan-1)*f))
}

// expireSuspects declares the suspects dead whose time is over.
func (m *Machine) expireSuspects() {
	for i := 0; i < len(m.suspects); {
		r := m.suspects[i]
		if !m.due(r.deadline) {
			i++
			continue
		}
		m.merge(&Update{State: Dead, Identity: r.life, Version: r.version})
	}
}

// worsen raises the local health multiplier of Lifeguard, improve lowers it.
func (m *Machine) worsen(n int) {
	m.health = min(maxHealth, m.health+n)
}

func (m *Machine) improve() {
	m.health = max(0, m.health-1)
}

// scaled returns d as long as the health of this process makes it.
func (m *Machine) scaled(d time.Duration) time.Duration {
	return d * time.Duration(m.health+1)
}

// catchUp gives the others back the time in which this process did not run.
func (m *Machine) catchUp() {
	w, _ := m.Wake()
	late := m.now.Sub(w)
	if late < lagLimit {
		return
	}
	m.worsen(1)
	m.probe = probe{end: m.now}
	m.relays = nil
	for _, r := range m.suspects {
		r.deadline = r.deadline.Add(late)
		r.since = r.since.Add(late)
	}
	if late > TombstoneRetention/2 {
		m.forget()
	}
}

package member

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// minSuspicionFactor is the factor of the probe interval in the shortest suspicion timeout.
	minSuspicionFactor = 3
	// maxSuspicionRatio is the ratio of the longest suspicion timeout to the shortest one.
	maxSuspicionRatio = 4
	// maxSuspicionConfirmations is the number of further members that must share a suspicion
	// for the shortest timeout to apply.
	maxSuspicionConfirmations = 3
	// maxHealthScore is the upper bound of Machine.healthScore.
	maxHealthScore = 8
)

// refute handles an update on this process. It refutes Suspect and Dead by a newer version,
// and reports a newer incarnation, or that this one is said to have left, by Superseded.
func (m *Machine) refute(u *Update) {
	switch {
	case u.Identity.Incarnation > m.self.identity.Incarnation:
		m.reportSuperseded(u.Identity.Incarnation)
	case u.Identity.Incarnation < m.self.identity.Incarnation, m.leaving:
	case u.State == Left:
		m.reportSuperseded(u.Identity.Incarnation)
	case u.State != Alive && u.Version >= m.self.version:
		m.raiseHealthScore(1)
		m.raiseVersion(u.Version + 1)
	}
}

// reportSuperseded reports that incarnation i supersedes this process, once for each i.
func (m *Machine) reportSuperseded(i fleet.Incarnation) {
	if i <= m.supersededBy {
		return
	}
	m.supersededBy = i
	m.out = append(m.out, Superseded{Incarnation: i})
}

// suspect marks r as suspected by this process itself.
func (m *Machine) suspect(r *record) {
	u := Update{State: Suspect, Identity: r.identity, Version: r.version, SuspectedBy: m.self.identity.ID}
	m.merge(&u)
}

// updateSuspicion starts or ends the suspicion timeout of r after a change of its state.
func (m *Machine) updateSuspicion(r *record, by fleet.ID) {
	m.suspects = removeRecord(m.suspects, r)
	r.suspectedBy, r.suspicionDeadline = nil, time.Time{}
	if r.state != Suspect {
		return
	}
	m.suspects = append(m.suspects, r)
	r.suspectedBy = []fleet.ID{by}
	r.suspicionDeadline = m.now.Add(m.suspicionTimeout(0))
}

// confirmSuspicion shortens the suspicion timeout of r if another member suspects it too.
func (m *Machine) confirmSuspicion(r *record, by fleet.ID) {
	if by == "" || len(r.suspectedBy) > maxSuspicionConfirmations || slices.Contains(r.suspectedBy, by) {
		return
	}
	r.suspectedBy = append(r.suspectedBy, by)
	r.suspicionDeadline = r.stateSince.Add(m.suspicionTimeout(len(r.suspectedBy) - 1))
	m.queueGossip(r)
}

// suspicionTimeout returns the timeout of a suspicion that c further members share. As in
// Lifeguard it is max - (max-min) log(c+1)/log(k+1), where k confirmations lower it to min.
// As in SWIM min grows with the logarithm of the number of members.
func (m *Machine) suspicionTimeout(c int) time.Duration {
	n := len(m.ring) + 1
	shortest := minSuspicionFactor * max(1, math.Log10(float64(n))) * float64(ProbeInterval)
	k := min(maxSuspicionConfirmations, n-3)
	if k < 1 {
		return time.Duration(shortest)
	}
	f := min(1, math.Log(float64(c+1))/math.Log(float64(k+1)))
	return time.Duration(shortest * (maxSuspicionRatio - (maxSuspicionRatio-1)*f))
}

// expireSuspects declares those suspects dead whose timeout is over.
func (m *Machine) expireSuspects() {
	for i := 0; i < len(m.suspects); {
		r := m.suspects[i]
		if !m.isDue(r.suspicionDeadline) {
			i++
			continue
		}
		m.merge(&Update{State: Dead, Identity: r.identity, Version: r.version})
	}
}

// raiseHealthScore raises the local health multiplier of Lifeguard by n.
func (m *Machine) raiseHealthScore(n int) {
	m.healthScore = min(maxHealthScore, m.healthScore+n)
}

// lowerHealthScore lowers the local health multiplier of Lifeguard by 1.
func (m *Machine) lowerHealthScore() {
	m.healthScore = max(0, m.healthScore-1)
}

// scaleByHealth returns d times the local health multiplier plus one, as in Lifeguard.
func (m *Machine) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(m.healthScore+1)
}

// compensatePause handles a step that comes late because the process was paused. Answers
// and refutations could not be handled meanwhile, so it drops the probes in progress and
// extends the suspicions by the delay. After a pause longer than half of
// TombstoneRetention it joins again with an empty view.
func (m *Machine) compensatePause() {
	w, _ := m.Wake()
	delay := m.now.Sub(w)
	if delay < pauseThreshold {
		return
	}
	m.raiseHealthScore(1)
	m.probe = probe{endsAt: m.now}
	m.indirectProbes = nil
	for _, r := range m.suspects {
		r.suspicionDeadline = r.suspicionDeadline.Add(delay)
		r.stateSince = r.stateSince.Add(delay)
	}
	if delay > TombstoneRetention/2 {
		m.resetView()
	}
}

package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// stepClaiming handles a request that waits for its claim. Nothing was sent,
// but an earlier request under the key may have run: until the owner answers,
// NotRun would be false to a caller that repeats itself.
func (m *Machine) stepClaiming(now time.Time, e Event, out []Action) []Action {
	switch e.Type {
	case ClaimGranted:
		return m.granted(now, out)
	case ClaimDenied:
		return m.denied(e.EarlierOutcome, out)
	case ClaimFailed:
		return m.claimFailed(e, out)
	case DeadlinePassed:
		if m.overdue(now) {
			return m.abandonClaim(ReasonDeadline, out)
		}
	case CallerGone:
		m.callerGone = true
		return m.abandonClaim(ReasonCallerGone, out)
	}
	return out
}

func (m *Machine) granted(now time.Time, out []Action) []Action {
	m.claimed = true
	m.phase = running
	if m.overdue(now) {
		return m.finish(out, fleet.NotRun, ReasonDeadline)
	}
	return m.route(out)
}

func (m *Machine) denied(earlier fleet.Outcome, out []Action) []Action {
	switch earlier {
	case fleet.NotRun:
		return m.finish(out, fleet.NotRun, ReasonRepeated)
	case fleet.Answered:
		return m.finish(out, fleet.Unknown, ReasonRepeatedAnswer)
	default:
		return m.finish(out, fleet.Unknown, ReasonRepeated)
	}
}

func (m *Machine) claimFailed(e Event, out []Action) []Action {
	why := e.Reason
	if why == ReasonNone {
		why = ReasonNoClaim
	}
	if e.Commit == NotCommitted {
		return m.finish(out, fleet.NotRun, why)
	}
	return m.abandonClaim(why, out)
}

// abandonClaim ends a request whose claim may be in the journal. It was never
// dispatched, so the claim is released for a repeat under the same key.
func (m *Machine) abandonClaim(why Reason, out []Action) []Action {
	m.abandoned = true
	out = append(out, Action{Type: ReportClaimOutcome, Outcome: fleet.NotRun})
	return m.finish(out, fleet.Unknown, why)
}

package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// stepClaiming handles a request that waits for its claim. Nothing was sent, but
// an earlier request with the same key may have run. So the outcome of a repeated
// request is not known to be NotRun until the owner answers.
func (m *Machine) stepClaiming(now time.Time, e Event, out []Action) []Action {
	switch e.Type {
	case ClaimGranted:
		return m.claimGranted(now, out)
	case ClaimDenied:
		return m.claimDenied(e.EarlierOutcome, out)
	case ClaimFailed:
		return m.claimFailed(e, out)
	case DeadlinePassed:
		if m.pastDeadline(now) {
			return m.abandonClaim(ReasonDeadline, out)
		}
	case CallerGone:
		m.callerGone = true
		return m.abandonClaim(ReasonCallerGone, out)
	}
	return out
}

func (m *Machine) claimGranted(now time.Time, out []Action) []Action {
	m.claimed = true
	m.phase = running
	if m.pastDeadline(now) {
		return m.respond(out, fleet.NotRun, ReasonDeadline)
	}
	return m.requestRoute(out)
}

func (m *Machine) claimDenied(earlier fleet.Outcome, out []Action) []Action {
	switch earlier {
	case fleet.NotRun:
		return m.respond(out, fleet.NotRun, ReasonRepeated)
	case fleet.Answered:
		return m.respond(out, fleet.Unknown, ReasonRepeatedAnswer)
	default:
		return m.respond(out, fleet.Unknown, ReasonRepeated)
	}
}

func (m *Machine) claimFailed(e Event, out []Action) []Action {
	reason := e.Reason
	if reason == ReasonNone {
		reason = ReasonNoClaim
	}
	if e.Commit == NotCommitted {
		return m.respond(out, fleet.NotRun, reason)
	}
	return m.abandonClaim(reason, out)
}

// abandonClaim ends a request whose claim may be in the journal. The request was
// never dispatched, so NotRun is reported for the claim, which allows a repeated
// request with the same key.
func (m *Machine) abandonClaim(reason Reason, out []Action) []Action {
	m.claimAbandoned = true
	out = append(out, Action{Type: ReportClaimOutcome, Outcome: fleet.NotRun})
	return m.respond(out, fleet.Unknown, reason)
}

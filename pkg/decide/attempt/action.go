package attempt

import "github.com/sesamestream/sesamestream/pkg/fleet"

// An ActionType says what is to be done.
type ActionType int

// The actions of a request.
const (
	// RequestClaim asks the owner of the request's key for a claim.
	RequestClaim ActionType = iota + 1
	// ReportClaimOutcome tells the owner how the claimed request ended: Answered
	// where it ran, NotRun where it never will, Unknown else. It speaks of this
	// request's own claim only, never of another that holds the key.
	ReportClaimOutcome
	// RequestRoute asks for an agent other than those of Tried.
	RequestRoute
	// ReleaseRoute gives back a chosen Agent that gets no attempt.
	ReleaseRoute
	// Dispatch sends the request to Agent as Attempt.
	Dispatch
	// CancelAttempt gives Attempt up; its later events are ignored.
	CancelAttempt
	// ForwardAnswer passes the answer of Attempt to the caller from its head on.
	ForwardAnswer
	// Respond ends the request: with the end of the body after PassBody, else
	// with a response that tells Outcome and Reason.
	Respond
	// AbortConnection ends the request by breaking the caller's connection.
	AbortConnection
)

// An Action is one thing to do for the request.
type Action struct {
	Type    ActionType
	Attempt Number
	Agent   fleet.ID
	Outcome fleet.Outcome
	Reason  Reason
}

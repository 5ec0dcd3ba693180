package attempt

import "github.com/sesamestream/sesamestream/pkg/fleet"

// An ActionType is the kind of an Action.
type ActionType int

// The actions of a Machine.
const (
	// RequestClaim requests a claim from the owner of the request's key.
	RequestClaim ActionType = iota + 1
	// ReportClaimOutcome reports to the owner how the claimed request ended:
	// Answered if it ran, NotRun if it never will, otherwise Unknown. It refers
	// only to the claim of this request, never to another one that holds the key.
	ReportClaimOutcome
	// RequestRoute asks for an agent that is not among TriedAgents.
	RequestRoute
	// ReleaseRoute returns a chosen Agent to the router unused.
	ReleaseRoute
	// Dispatch sends the request to Agent as Attempt.
	Dispatch
	// CancelAttempt cancels Attempt; its later events are ignored.
	CancelAttempt
	// ForwardAnswer streams the answer of Attempt to the caller, starting with its head.
	ForwardAnswer
	// Respond ends the request: after ForwardAnswer by ending the body, otherwise
	// with a response that states Outcome and Reason.
	Respond
	// AbortConnection ends the request by closing the caller's connection early.
	AbortConnection
)

// An Action is a step that the caller of Machine.Step carries out.
type Action struct {
	Type    ActionType
	Attempt Number
	Agent   fleet.ID
	Outcome fleet.Outcome
	Reason  Reason
}

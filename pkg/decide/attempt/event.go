package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An EventType says what happened.
type EventType int

// The events of a request.
const (
	// Begin starts the request; it uses Unrepeatable and Deadline.
	Begin EventType = iota + 1
	// ClaimGranted says that the claim is committed for this request.
	ClaimGranted
	// ClaimDenied says that the key was granted before; it uses Earlier.
	ClaimDenied
	// ClaimFailed says that the claim could not be had; it uses Commit.
	ClaimFailed
	// RouteChosen answers Route; it uses Agent.
	RouteChosen
	// RouteFailed answers Route where no agent was found; it uses Reason.
	RouteFailed
	// Dispatched says that bytes of the attempt's request left.
	Dispatched
	// Refused is the agent's proof that the attempt has not run and will not.
	Refused
	// ConnectFailed is the proof that nothing of the attempt was sent.
	ConnectFailed
	// Broken says that the attempt ended without an answer or a proof.
	Broken
	// AnswerHead says that the head of the attempt's answer came.
	AnswerHead
	// AnswerComplete says that the attempt's whole answer came, its length checked.
	AnswerComplete
	// AnswerTruncated says that the attempt's answer ended early.
	AnswerTruncated
	// DeadlinePassed says that the deadline passed.
	DeadlinePassed
	// CallerGone says that the caller closed its connection.
	CallerGone
	// HedgeTimer says that the time of Wake came.
	HedgeTimer
)

// An Event is one thing that happened to the request.
type Event struct {
	Type EventType
	// Attempt is set from Dispatched to AnswerCut.
	Attempt Number
	// Unrepeatable marks a request that runs at most once.
	Unrepeatable bool
	// Deadline is when an answer is of no more use; zero means never.
	Deadline time.Time
	// Agent is the agent chosen.
	Agent fleet.ID
	// EarlierOutcome is the outcome of the request that was granted the key.
	EarlierOutcome fleet.Outcome
	// Commit says whether the claim that failed may be in the journal.
	Commit CommitState
	// Reason says why, for a caller to read.
	Reason Reason
}

// A CommitState says what is known of a claim that failed.
type CommitState int

const (
	// MayHaveCommitted means that nothing is known: the key's owner was not
	// reached, or could not tell.
	MayHaveCommitted CommitState = iota
	// NotCommitted means that the key's owner vouches that no claim is
	// committed under the key, neither this one nor an earlier one.
	NotCommitted
)

// A Reason says why a request ended as it did.
type Reason string

// The reasons that the machine gives itself.
const (
	ReasonNone           Reason = ""
	ReasonDeadline       Reason = "deadline"
	ReasonCallerGone     Reason = "callerGone"
	ReasonRepeated       Reason = "repeated"
	ReasonRepeatedAnswer Reason = "repeatedAfterAnswer"
	ReasonNoClaim        Reason = "noClaim"
	ReasonRefused        Reason = "refused"
	ReasonConnectFailed  Reason = "connectFailed"
	ReasonBroken         Reason = "broken"
	ReasonTruncated      Reason = "cut"
)

package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An EventType is the kind of an Event.
type EventType int

// The events of a Machine.
const (
	// Begin starts the request; it uses Unrepeatable and Deadline.
	Begin EventType = iota + 1
	// ClaimGranted reports that the claim is committed for this request.
	ClaimGranted
	// ClaimDenied reports that the key was granted to an earlier request; it uses
	// EarlierOutcome.
	ClaimDenied
	// ClaimFailed reports that the claim could not be obtained; it uses Commit.
	ClaimFailed
	// RouteChosen answers RequestRoute with an agent; it uses Agent.
	RouteChosen
	// RouteFailed answers RequestRoute if no agent was found; it uses Reason.
	RouteFailed
	// Dispatched reports that bytes of the attempt's request were sent.
	Dispatched
	// Refused is the agent's proof that the attempt has not run and will not run.
	Refused
	// ConnectFailed reports that the agent was not reached. It proves that the
	// attempt has not run, unless Dispatched came before.
	ConnectFailed
	// Broken reports that the attempt ended without an answer or a proof that it
	// has not run.
	Broken
	// AnswerHead reports that the head of the attempt's answer was received.
	AnswerHead
	// AnswerComplete reports that the attempt's whole answer was received and that
	// its length is correct.
	AnswerComplete
	// AnswerTruncated reports that the attempt's answer ended early.
	AnswerTruncated
	DeadlinePassed
	// CallerGone reports that the caller closed its connection.
	CallerGone
	// HedgeTimer reports that HedgeDelay has elapsed.
	HedgeTimer
)

// An Event is an input of Machine.Step.
type Event struct {
	Type EventType
	// Attempt is set for the types from Dispatched to AnswerTruncated.
	Attempt Number
	// Unrepeatable marks a request that runs at most once.
	Unrepeatable bool
	// Deadline is the time after which the caller has no use for an answer; zero
	// means none.
	Deadline time.Time
	// Agent is the chosen agent.
	Agent fleet.ID
	// EarlierOutcome is the outcome of the earlier request that holds the key.
	EarlierOutcome fleet.Outcome
	// Commit is whether the failed claim may be in the journal.
	Commit CommitState
	// Reason is the cause that is reported to the caller.
	Reason Reason
}

// A CommitState says whether a failed claim may have been committed.
type CommitState int

const (
	// MayHaveCommitted means that nothing is known: the key's owner was not
	// reached or does not know.
	MayHaveCommitted CommitState = iota
	// NotCommitted means that the key's owner guarantees that no claim is
	// committed for the key, neither this one nor an earlier one.
	NotCommitted
)

// A Reason says why a request ended as it did.
type Reason string

// The reasons that the Machine sets itself. Others come with its events.
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

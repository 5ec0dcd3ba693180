// Package place decides which queued task starts next and on which host.
//
// A Placer sees the hosts' reports, which lag, and its own reservations; the
// agent of a host is the authority and may refuse. The cost of a decision does
// not grow with the fleet: hosts stand in buckets of free processors and a
// bounded sample of them is compared.
package place

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Host is what is reported of one host.
type Host struct {
	ID    fleet.ID
	Place fleet.Place
	// Agent and Worker are the lives of the host's processes.
	Agent  fleet.Incarnation
	Worker fleet.Incarnation
	Total  fleet.Resources
	// Free is Total less what the agent has reserved.
	Free     fleet.Resources
	Draining bool
}

// A TaskSpec is what one task asks for.
type TaskSpec struct {
	Kind   fleet.Kind
	Team   fleet.Team
	Class  table.Class
	Need   fleet.Resources
	Urgent bool
	// Region is where the input lies, empty for anywhere.
	Region      string
	CrossRegion bool
	// SpreadGroup is whose tasks are spread over racks, empty for none.
	SpreadGroup string
	// AvoidHosts are the hosts on which the task has failed.
	AvoidHosts []fleet.ID
}

// Interference knows how much a kind disturbs, or is disturbed, on a host.
type Interference interface {
	// Penalty returns 0 for none and 1 for the worst.
	Penalty(k fleet.Kind, on fleet.ID) float64
}

// The parameters of a Placer.
const (
	// probes bounds the hosts looked at for one task.
	probes = 48
	// sample is how many fitting hosts are compared.
	sample = 6
	// ageLimit is how long a task waits before a host is kept for it.
	ageLimit = 30 * time.Second
	// refusedFor is how long a host that refused is passed over.
	refusedFor = time.Second
	// retryFor is how long a task that fitted nowhere waits for its next try.
	retryFor = 200 * time.Millisecond
	// maxVictims bounds the evictions for one urgent task.
	maxVictims = 4
	// urgentAfter is how long an urgent task waits before others are evicted for it.
	urgentAfter = 500 * time.Millisecond
	// reserveEvery is the inverse of the share of hosts kept for urgent work.
	reserveEvery = 50
)

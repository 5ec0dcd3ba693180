// Package place decides which queued task starts next and on which host.
//
// A Placer knows the hosts' reports, which lag, and its own assignments. The
// agent of a host has the authority and may refuse a task. The cost of a
// decision does not grow with the fleet: hosts are indexed in buckets by free
// processors, and a bounded sample of them is compared.
package place

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Host is the reported state of one host.
type Host struct {
	ID    fleet.ID
	Place fleet.Place
	// Agent and Worker are the incarnations of the host's processes.
	Agent  fleet.Incarnation
	Worker fleet.Incarnation
	Total  fleet.Resources
	// Free is Total minus the resources that the agent has reserved.
	Free     fleet.Resources
	Draining bool
}

// A TaskSpec describes the requirements of one task.
type TaskSpec struct {
	Kind   fleet.Kind
	Team   fleet.Team
	Class  table.Class
	Need   fleet.Resources
	Urgent bool
	// Region is the region of the input, empty for any.
	Region      string
	CrossRegion bool
	// SpreadGroup names the group whose tasks are spread over racks, empty for none.
	SpreadGroup string
	// AvoidHosts lists the hosts on which the task has failed.
	AvoidHosts []fleet.ID
}

// Interference estimates how much a kind interferes with the tasks on a host, or suffers from them.
type Interference interface {
	// Penalty returns a value from 0 for no interference to 1 for the strongest.
	Penalty(k fleet.Kind, on fleet.ID) float64
}

// The parameters of a Placer.
const (
	// maxHostProbes is the maximum number of hosts checked for one task.
	maxHostProbes = 48
	// maxCandidates is the maximum number of fitting hosts that are compared.
	maxCandidates = 6
	// reserveAfter is how long a task waits before a host is reserved for it.
	reserveAfter = 30 * time.Second
	// refusalBackoff is how long no task is placed on a host that refused one.
	refusalBackoff = time.Second
	// retryDelay is how long a kind waits for its next attempt after none of its tasks could be placed.
	retryDelay = 200 * time.Millisecond
	// maxVictimsPerTask is the maximum number of evictions for one task.
	maxVictimsPerTask = 4
	// evictAfter is how long a task waits before others are evicted for it.
	evictAfter = 500 * time.Millisecond
	// hostsPerUrgentOnly is the inverse of the share of hosts reserved for urgent tasks.
	// Smaller fleets reserve none.
	hostsPerUrgentOnly = 50
)

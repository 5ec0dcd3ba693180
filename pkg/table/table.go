// Package table defines the operators' table: a row for each kind of work with
// its weight, floor and ceiling, and a row for each team with its quota.
package table

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Class is the execution model of a kind of work.
type Class string

// The classes of work.
const (
	// ClassRequest is a request that a target answers.
	ClassRequest Class = "request"
	// ClassBatch is a task that runs to completion on one worker.
	ClassBatch Class = "batch"
	// ClassService is a long-running replica.
	ClassService Class = "service"
)

// A Share is a fraction of the fleet's capacity, between 0 and 1.
type Share float64

// A Row is the policy for one kind of work.
type Row struct {
	Kind  fleet.Kind `cbor:"1,keyasint" json:"kind" yaml:"kind"`
	Class Class      `cbor:"2,keyasint" json:"class" yaml:"class"`
	// Weight sets the kind's part of the capacity that no floor reserves, relative to the other weights.
	Weight float64 `cbor:"3,keyasint" json:"weight" yaml:"weight"`
	// Floor is the share that is reserved for the kind while it has demand for it.
	Floor Share `cbor:"4,keyasint" json:"floor" yaml:"floor"`
	// Ceiling is the share that the kind never exceeds.
	Ceiling Share `cbor:"5,keyasint" json:"ceiling" yaml:"ceiling"`
	// Deadline is the time within which an answer, or the start of a task, is useful.
	Deadline time.Duration `cbor:"6,keyasint" json:"deadline" yaml:"deadline"`
	// Objective is the latency objective of the kind, against which the burn report measures it.
	Objective time.Duration `cbor:"7,keyasint" json:"objective" yaml:"objective"`
	// Target is the share of the work that must meet the objective.
	Target Share `cbor:"8,keyasint" json:"target" yaml:"target"`
	// Unrepeatable marks work that runs at most once.
	Unrepeatable bool `cbor:"9,keyasint" json:"unrepeatable" yaml:"unrepeatable"`
	// Urgent marks work that is served before other work as far as the floors and ceilings allow.
	Urgent bool `cbor:"10,keyasint" json:"urgent" yaml:"urgent"`
	// CrossRegion allows the kind to use the link between regions.
	CrossRegion bool `cbor:"11,keyasint" json:"crossRegion" yaml:"crossRegion"`
	// LinkRate is the maximum rate, in bytes per second, that the kind may send over the link between regions, fleet-wide.
	LinkRate fleet.Bytes `cbor:"12,keyasint" json:"linkRate" yaml:"linkRate"`
}

// A TeamRow is the quota of one team.
type TeamRow struct {
	Team fleet.Team `cbor:"1,keyasint" json:"team" yaml:"team"`
	// Weight sets the team's part of contended slots, relative to the other weights.
	Weight float64 `cbor:"2,keyasint" json:"weight" yaml:"weight"`
	// Quota is the share of the fleet's slots that the team's tasks never exceed.
	Quota Share `cbor:"3,keyasint" json:"quota" yaml:"quota"`
}

// A Revision numbers the accepted versions of the table in the order of the store.
type Revision uint64

// A Table is one accepted version of the operators' table.
type Table struct {
	Revision Revision  `cbor:"1,keyasint" json:"revision" yaml:"revision"`
	Rows     []Row     `cbor:"2,keyasint" json:"kinds" yaml:"kinds"`
	Teams    []TeamRow `cbor:"3,keyasint" json:"teams" yaml:"teams"`
}

// Row returns the row of k and whether it exists.
func (t *Table) Row(k fleet.Kind) (Row, bool) {
	for _, r := range t.Rows {
		if r.Kind == k {
			return r, true
		}
	}
	return Row{}, false
}

// Package table holds the operators' table: a row for each kind of work with
// its weight, floor and ceiling, and a row for each team with its quota.
package table

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Class says how a kind of work runs.
type Class string

// The classes of work.
const (
	// ClassRequest is a request answered by a target.
	ClassRequest Class = "request"
	// ClassBatch is a task that runs to its end in one place.
	ClassBatch Class = "batch"
	// ClassService is a long-running replica.
	ClassService Class = "service"
)

// A Share is a part of what the fleet holds, between 0 and 1.
type Share float64

// A Row is the rule for one kind of work.
type Row struct {
	Kind fleet.Kind `cbor:"1,keyasint" json:"kind" yaml:"kind"`
	// Class says how the kind runs.
	Class Class `cbor:"2,keyasint" json:"class" yaml:"class"`
	// Weight divides what no floor claims.
	Weight float64 `cbor:"3,keyasint" json:"weight" yaml:"weight"`
	// Floor is the share that no other kind can take from this one while it asks for it.
	Floor Share `cbor:"4,keyasint" json:"floor" yaml:"floor"`
	// Ceiling is the share this kind never exceeds.
	Ceiling Share `cbor:"5,keyasint" json:"ceiling" yaml:"ceiling"`
	// Deadline is how long an answer, or for tasks a start, is of use.
	Deadline time.Duration `cbor:"6,keyasint" json:"deadline" yaml:"deadline"`
	// Objective is the latency the burn report holds the kind to.
	Objective time.Duration `cbor:"7,keyasint" json:"objective" yaml:"objective"`
	// Target is the share of work that must meet the objective.
	Target Share `cbor:"8,keyasint" json:"target" yaml:"target"`
	// Unrepeatable marks work that runs at most once.
	Unrepeatable bool `cbor:"9,keyasint" json:"unrepeatable" yaml:"unrepeatable"`
	// Urgent marks work that goes before the rest within its rights.
	Urgent bool `cbor:"10,keyasint" json:"urgent" yaml:"urgent"`
	// CrossRegion allows the kind to use the link between regions.
	CrossRegion bool `cbor:"11,keyasint" json:"crossRegion" yaml:"crossRegion"`
	// LinkRate is how many bytes a second the kind may send over the link between regions, fleet-wide.
	LinkRate fleet.Bytes `cbor:"12,keyasint" json:"linkRate" yaml:"linkRate"`
}

// A TeamRow is the quota of one team.
type TeamRow struct {
	Team fleet.Team `cbor:"1,keyasint" json:"team" yaml:"team"`
	// Weight divides contended slots between teams.
	Weight float64 `cbor:"2,keyasint" json:"weight" yaml:"weight"`
	// Quota is the share of the fleet's slots the team's tasks never exceed.
	Quota Share `cbor:"3,keyasint" json:"quota" yaml:"quota"`
}

// A Revision orders the accepted versions of the table, as the store does.
type Revision uint64

// A Table is one accepted version of the operators' table.
type Table struct {
	Revision Revision  `cbor:"1,keyasint" json:"revision" yaml:"revision"`
	Rows     []Row     `cbor:"2,keyasint" json:"kinds" yaml:"kinds"`
	Teams    []TeamRow `cbor:"3,keyasint" json:"teams" yaml:"teams"`
}

// Row returns the row of k and whether there is one.
func (t *Table) Row(k fleet.Kind) (Row, bool) {
	for _, r := range t.Rows {
		if r.Kind == k {
			return r, true
		}
	}
	return Row{}, false
}

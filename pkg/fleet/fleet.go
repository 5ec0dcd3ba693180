// Package fleet holds the words that every part of sesamestream shares:
// kinds of work, hosts and their places, and what a host has.
package fleet

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// ErrBadPlace is returned for a place that lacks its region or data centre.
var ErrBadPlace = errors.New("fleet: place needs a region and a data centre")

// A Kind names one kind of work, a row of the operators' table.
type Kind string

// A Team names the owner of jobs, a team row of the operators' table.
type Team string

// An ID names one process of the fleet for as long as its host keeps its role.
type ID string

// An Incarnation orders the lives of the process that holds an ID.
type Incarnation uint64

// A ProcessIncarnation is one run of one process.
type ProcessIncarnation struct {
	ID          ID          `cbor:"1,keyasint" json:"id"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// A Place says where a host stands.
type Place struct {
	Region     string `cbor:"1,keyasint" json:"region" yaml:"region"`
	DataCentre string `cbor:"2,keyasint" json:"dataCentre" yaml:"dataCentre"`
	Rack       string `cbor:"3,keyasint" json:"rack" yaml:"rack"`
}

// Check returns ErrBadPlace unless the region and the data centre are named.
func (p Place) Check() error {
	if strings.TrimSpace(p.Region) == "" || strings.TrimSpace(p.DataCentre) == "" {
		return ErrBadPlace
	}
	return nil
}

// Distance is how far two places are apart, smaller is nearer.
type Distance int

// The distances between two places.
const (
	SameRack Distance = iota
	SameDataCentre
	SameRegion
	OtherRegion
)

// Distance returns how far q is from p.
func (p Place) Distance(q Place) Distance {
	switch {
	case p.Region != q.Region:
		return OtherRegion
	case p.DataCentre != q.DataCentre:
		return SameRegion
	case p.Rack != q.Rack:
		return SameDataCentre
	default:
		return SameRack
	}
}

// A Role is what a process does in the fleet.
type Role string

// The roles of the system's own processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// A Member is one process of the system as others address it.
type Member struct {
	ProcessIncarnation
	Role    Role           `cbor:"3,keyasint" json:"role"`
	Place   Place          `cbor:"4,keyasint" json:"place"`
	Address netip.AddrPort `cbor:"5,keyasint" json:"address"`
}

// Bytes counts bytes.
type Bytes int64

// MilliProcessors counts thousandths of a processor.
type MilliProcessors int64

// Resources are what a host has or a task needs.
type Resources struct {
	Processors   MilliProcessors `cbor:"1,keyasint" json:"processors" yaml:"processors"`
	Memory       Bytes           `cbor:"2,keyasint" json:"memory" yaml:"memory"`
	Accelerators int             `cbor:"3,keyasint" json:"accelerators" yaml:"accelerators"`
	Slots        int             `cbor:"4,keyasint" json:"slots" yaml:"slots"`
	Connections  int             `cbor:"5,keyasint" json:"connections" yaml:"connections"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Processors:   r.Processors + o.Processors,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		Processors:   r.Processors - o.Processors,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors &&
		r.Memory <= o.Memory &&
		r.Accelerators <= o.Accelerators &&
		r.Slots <= o.Slots &&
		r.Connections <= o.Connections
}

// An Outcome is what a caller is told of a request.
type Outcome string

// The three outcomes of a request.
const (
	// Answered means the caller has the whole answer of one target.
	Answered Outcome = "answered"
	// NotRun means it is proved that no target received the request.
	NotRun Outcome = "notRun"
	// Unknown means the request may have run.
	Unknown Outcome = "unknown"
)

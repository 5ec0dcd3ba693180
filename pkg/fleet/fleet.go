// Package fleet defines the types that all parts of sesamestream share:
// kinds of work, processes and their locations, and the resources of hosts.
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

// An ID identifies a process of the fleet; it stays the same for as long as the host keeps its role.
type ID string

// An Incarnation numbers the incarnations of a process; a later one has a higher number.
type Incarnation uint64

// A ProcessIncarnation identifies one incarnation of a process, from its start to its end.
type ProcessIncarnation struct {
	ID          ID          `cbor:"1,keyasint" json:"id"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// A Place is the location of a host.
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

// Distance is a measure of how far apart two places are; smaller is nearer.
type Distance int

// The distances between two places.
const (
	SameRack Distance = iota
	SameDataCentre
	SameRegion
	OtherRegion
)

// Distance returns the distance between p and q.
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

// A Role is the function of a process in the fleet.
type Role string

// The roles of the system's own processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// A Member describes a process of the system to the others.
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

// Resources are the capacity of a host or the demand of a task.
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

// An Outcome is the result of a request as reported to its caller.
type Outcome string

// The three outcomes of a request.
const (
	// Answered means that the caller received the complete answer of one target.
	Answered Outcome = "answered"
	// NotRun means that provably no target received the request.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

package member

import (
	"net/netip"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// An Event goes into a Machine.
type Event interface{ event() }

// Start is the first event of a machine.
type Start struct {
	Self  fleet.Member
	Seeds []netip.AddrPort
}

// A Packet is a message that arrived.
type Packet struct {
	From    netip.AddrPort
	Message Message
}

// Tick lets time pass; it is due when Wake says.
type Tick struct{}

// Leave announces that this process stops.
type Leave struct{}

// SetOffers replaces the kinds that this agent serves; more than MaxOffers are cut off.
type SetOffers struct{ Offers []Offer }

// SetLoads replaces the loads that are reported to the bridges.
type SetLoads struct{ Loads []Load }

// SetRevision tells the revision in force in this process and the newest token of its confirmation.
type SetRevision struct {
	Revision table.Revision
	Token    uint64
}

func (Start) event()       {}
func (Packet) event()      {}
func (Tick) event()        {}
func (Leave) event()       {}
func (SetOffers) event()   {}
func (SetLoads) event()    {}
func (SetRevision) event() {}

// An Action comes out of a Machine.
type Action interface{ action() }

// Send asks to send a message.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Changed tells of a member of the own data centre.
type Changed struct {
	Info  Info
	State State
}

// RevisionSeen tells which table the process at From has in force.
type RevisionSeen struct {
	Revision table.Revision
	From     netip.AddrPort
	// Token is the newest confirmation that the process at From knows of.
	Token uint64
}

// SummaryChanged tells of another data centre.
type SummaryChanged struct{ Summary Summary }

// Superseded tells that a newer life has this process's ID.
type Superseded struct{ Incarnation fleet.Incarnation }

func (Send) action()           {}
func (Changed) action()        {}
func (RevisionSeen) action()   {}
func (SummaryChanged) action() {}
func (Superseded) action()     {}

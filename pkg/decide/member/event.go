package member

import (
	"net/netip"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// An Event is an input of a Machine.
type Event interface{ event() }

// Start is the first event of a Machine.
type Start struct {
	// Self is the process that the Machine belongs to.
	Self fleet.Member
	// Seeds are addresses of processes to join by.
	Seeds []netip.AddrPort
}

// A Packet is a message received from the address From.
type Packet struct {
	From    netip.AddrPort
	Message Message
}

// Tick lets the Machine act on its timers; it is due at the time that Wake returns.
type Tick struct{}

// Leave makes the Machine announce that its process stops.
type Leave struct{}

// SetOffers replaces the kinds that this agent serves. Offers beyond MaxOffers, and those
// that would exceed MaxMetadataSize, are dropped.
type SetOffers struct{ Offers []Offer }

// SetLoads replaces the loads that are reported to the bridges. Loads beyond MaxOffers are dropped.
type SetLoads struct{ Loads []Load }

// SetRevision sets the revision of the table in force in this process and the newest
// token with which the store confirmed it.
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

// An Action is an output of a Machine.
type Action interface{ action() }

// Send asks the caller to send Message to the address To.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Changed reports the new state or metadata of a member of this data centre.
type Changed struct {
	Info  Info
	State State
}

// RevisionSeen reports that the process at From has a newer revision in force than this
// process, or knows a newer confirmation of the same revision.
type RevisionSeen struct {
	Revision table.Revision
	From     netip.AddrPort
	// Token is the token of the newest confirmation that the process at From knows.
	Token uint64
}

// SummaryChanged reports a new summary of another data centre.
type SummaryChanged struct{ Summary Summary }

// Superseded reports that a newer incarnation uses the ID of this process, or that this
// incarnation is known to have left.
type Superseded struct{ Incarnation fleet.Incarnation }

func (Send) action()           {}
func (Changed) action()        {}
func (RevisionSeen) action()   {}
func (SummaryChanged) action() {}
func (Superseded) action()     {}

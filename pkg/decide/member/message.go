package member

import (
	"net/netip"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A State is the state of a member in the view of the members of its data centre.
type State uint8

// The states of a member. At equal incarnation and version a later one overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of s.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "invalid"
	}
}

// An Offer is one kind that an agent serves.
type Offer struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// Limit is how many requests or tasks of the kind the agent takes at once.
	Limit uint32 `cbor:"2,keyasint"`
}

// A Load is how much of an agent's limit for a kind is in use.
type Load struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	Used uint32     `cbor:"2,keyasint"`
}

// Metadata is what a member announces about itself besides its identity.
type Metadata struct {
	Role    fleet.Role     `cbor:"1,keyasint"`
	Place   fleet.Place    `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	Offers  []Offer        `cbor:"4,keyasint,omitempty"`
}

// An Info is a member with the kinds it serves.
type Info struct {
	fleet.Member
	Offers []Offer
}

// An Update is the state of one member as some process holds it.
type Update struct {
	State    State                    `cbor:"1,keyasint"`
	Identity fleet.ProcessIncarnation `cbor:"2,keyasint"`
	// Version orders the updates on one incarnation; only the member itself raises it.
	Version uint32 `cbor:"3,keyasint,omitempty"`
	// SuspectedBy is a member that suspects this one on its own evidence.
	SuspectedBy fleet.ID  `cbor:"4,keyasint,omitempty"`
	Metadata    *Metadata `cbor:"5,keyasint,omitempty"`
}

// A KindSummary is the capacity of a data centre for one kind.
type KindSummary struct {
	Kind     fleet.Kind `cbor:"1,keyasint"`
	Agents   uint32     `cbor:"2,keyasint"`
	Capacity uint64     `cbor:"3,keyasint"`
	Used     uint64     `cbor:"4,keyasint"`
}

// A Contact is a member that a data centre names to the other ones as an address to use.
type Contact struct {
	Identity fleet.ProcessIncarnation `cbor:"1,keyasint"`
	Role     fleet.Role               `cbor:"2,keyasint"`
	Address  netip.AddrPort           `cbor:"3,keyasint"`
	// KindMask has bit i set if the contact serves kind i of its summary.
	KindMask uint32 `cbor:"4,keyasint,omitempty"`
}

// A Summary is what one data centre announces about itself to the other ones. One with
// no Members is a hint, which has contacts only.
type Summary struct {
	Region     string   `cbor:"1,keyasint"`
	DataCentre string   `cbor:"2,keyasint"`
	Source     fleet.ID `cbor:"3,keyasint"`
	// Timestamp orders the summaries of one source, in nanoseconds of its clock.
	Timestamp int64         `cbor:"4,keyasint"`
	Members   uint32        `cbor:"5,keyasint"`
	Kinds     []KindSummary `cbor:"6,keyasint,omitempty"`
	Contacts  []Contact     `cbor:"7,keyasint,omitempty"`
}

// A Type is the type of a message.
type Type uint8

// The types of messages.
const (
	// Ping asks for an Ack.
	Ping Type = iota + 1
	// Ack answers a Ping.
	Ack
	// Nack answers a PingRequest whose target did not answer the helper.
	Nack
	// PingRequest asks a helper to ping Target at Address.
	PingRequest
	// Gossip carries updates and the revision; it is not answered.
	Gossip
	// Pull asks for the members whose ID follows Cursor.
	Pull
	// Page answers a Pull; Cursor is empty on the last page.
	Page
	// Exchange carries summaries between data centres.
	Exchange
	// Relay carries a summary of another data centre to members of this one.
	Relay
	// Report carries an agent's loads to the bridges of its data centre.
	Report
)

// A Message is the content of one packet.
type Message struct {
	Type     Type                     `cbor:"1,keyasint"`
	Sequence uint64                   `cbor:"2,keyasint,omitempty"`
	From     fleet.ProcessIncarnation `cbor:"3,keyasint"`
	// Version is the version of the sender's own update.
	Version uint32 `cbor:"4,keyasint,omitempty"`
	// Revision is that of the table in force at the sender, from which the table can be fetched.
	Revision table.Revision `cbor:"5,keyasint,omitempty"`
	// Token orders the confirmations of the revision by the store.
	Token uint64 `cbor:"6,keyasint,omitempty"`
	// Digest is a hash of the sender's view of its data centre.
	Digest    uint64         `cbor:"7,keyasint,omitempty"`
	Target    fleet.ID       `cbor:"8,keyasint,omitempty"`
	Address   netip.AddrPort `cbor:"9,keyasint,omitzero"`
	Cursor    fleet.ID       `cbor:"10,keyasint,omitempty"`
	Updates   []Update       `cbor:"11,keyasint,omitempty"`
	Summaries []Summary      `cbor:"12,keyasint,omitempty"`
	Loads     []Load         `cbor:"13,keyasint,omitempty"`
}

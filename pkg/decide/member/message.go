package member

import (
	"net/netip"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A State is what the members of a data centre hold of one of them.
type State uint8

// The states, each overriding the one before it at equal incarnation and version.
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

// A Metadata is what a member says of itself besides its life.
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

// An Update is one statement about one member.
type Update struct {
	State    State                    `cbor:"1,keyasint"`
	Identity fleet.ProcessIncarnation `cbor:"2,keyasint"`
	// Version orders the statements about one life; only the member itself raises it.
	Version uint32 `cbor:"3,keyasint,omitempty"`
	// SuspectedBy is the member that first stated a suspicion.
	SuspectedBy fleet.ID  `cbor:"4,keyasint,omitempty"`
	Metadata    *Metadata `cbor:"5,keyasint,omitempty"`
}

// A KindSummary is what a data centre has of one kind.
type KindSummary struct {
	Kind     fleet.Kind `cbor:"1,keyasint"`
	Agents   uint32     `cbor:"2,keyasint"`
	Capacity uint64     `cbor:"3,keyasint"`
	Used     uint64     `cbor:"4,keyasint"`
}

// A Contact is one member of another data centre.
type Contact struct {
	Identity fleet.ProcessIncarnation `cbor:"1,keyasint"`
	Role     fleet.Role               `cbor:"2,keyasint"`
	Address  netip.AddrPort           `cbor:"3,keyasint"`
	// KindMask has bit i set where the contact serves kind i of its summary.
	KindMask uint32 `cbor:"4,keyasint,omitempty"`
}

// A Summary is what one data centre tells the others of itself.
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

// A Type says what a message is for.
type Type uint8

// The types of messages.
const (
	// Ping asks for an Ack.
	Ping Type = iota + 1
	// Ack answers a Ping.
	Ack
	// Nack tells that the target of a PingRequest did not answer the helper.
	Nack
	// PingRequest asks a helper to ping Target.
	PingRequest
	// Gossip carries updates and the revision, and asks for nothing.
	Gossip
	// Pull asks for the members whose ID follows Cursor.
	Pull
	// Page answers a Pull; Cursor is empty on the last page.
	Page
	// Exchange carries summaries between data centres.
	Exchange
	// Relay carries a summary on inside a data centre.
	Relay
	// Report carries an agent's loads to the bridges of its data centre.
	Report
)

// A Message is the content of one packet.
type Message struct {
	Type     Type                     `cbor:"1,keyasint"`
	Sequence uint64                   `cbor:"2,keyasint,omitempty"`
	From     fleet.ProcessIncarnation `cbor:"3,keyasint"`
	// Version is the sender's own version.
	Version uint32 `cbor:"4,keyasint,omitempty"`
	// Revision is the table in force at the sender, which it can serve.
	Revision table.Revision `cbor:"5,keyasint,omitempty"`
	// Token orders the moments at which the store confirmed the revision.
	Token uint64 `cbor:"6,keyasint,omitempty"`
	// Digest is the sender's view of its data centre.
	Digest    uint64         `cbor:"7,keyasint,omitempty"`
	Target    fleet.ID       `cbor:"8,keyasint,omitempty"`
	Address   netip.AddrPort `cbor:"9,keyasint,omitzero"`
	Cursor    fleet.ID       `cbor:"10,keyasint,omitempty"`
	Updates   []Update       `cbor:"11,keyasint,omitempty"`
	Summaries []Summary      `cbor:"12,keyasint,omitempty"`
	Loads     []Load         `cbor:"13,keyasint,omitempty"`
}

package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Limits on the content of a message.
const (
	// MaxMessageSize is the size of an encoded message including its version byte, in bytes.
	MaxMessageSize = 1150
	// MaxNameSize is the size of a kind, role, ID or part of a place, in bytes.
	MaxNameSize = 64
	// MaxOffers is the number of kinds that one member may offer, and may report loads of.
	MaxOffers = 16
	// MaxSummaryKinds is the number of kinds in a summary.
	MaxSummaryKinds = 24
	// MaxMetadataSize limits the upper bound of the encoded size of a member's metadata, in bytes.
	MaxMetadataSize = 700

	// wireVersion is the first byte of every packet.
	wireVersion = 1
	// maxHeaderSize is an upper bound of the encoded size of a message without its IDs,
	// its address and its lists, in bytes.
	maxHeaderSize = 90
	// maxCollectionElements is the number of elements in an encoded array and of pairs in a map.
	maxCollectionElements = 64
)

// Errors of Encode and Decode.
var (
	// ErrVersion is returned for a packet of another protocol version.
	ErrVersion = errors.New("member: unknown message version")
	// ErrInvalidMessage is returned for a packet that is not a valid message.
	ErrInvalidMessage = errors.New("member: invalid message")
	// ErrTooLarge is returned for a message whose encoding exceeds MaxMessageSize.
	ErrTooLarge = errors.New("member: message too large")
)

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxCollectionElements,
		MaxMapPairs:      maxCollectionElements,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the packet that carries m. It returns ErrTooLarge if the packet would
// exceed MaxMessageSize.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	if len(b)+1 > MaxMessageSize {
		return nil, ErrTooLarge
	}
	return append([]byte{wireVersion}, b...), nil
}

// Decode returns the message in the packet b. It returns ErrTooLarge, ErrVersion or
// ErrInvalidMessage if there is none.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) > MaxMessageSize {
		return m, ErrTooLarge
	}
	if len(b) == 0 || b[0] != wireVersion {
		return m, ErrVersion
	}
	if err := decodeMode.Unmarshal(b[1:], &m); err != nil {
		return Message{}, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	if !validMessage(&m) {
		return Message{}, ErrInvalidMessage
	}
	return m, nil
}

// validMessage reports whether m has a known type, the fields that its type requires,
// and only elements within the limits.
func validMessage(m *Message) bool {
	if m.Type < Ping || m.Type > Report || !validID(m.From.ID) {
		return false
	}
	if m.Type == PingRequest && (!validID(m.Target) || !m.Address.IsValid()) {
		return false
	}
	for i := range m.Updates {
		if !validUpdate(&m.Updates[i]) {
			return false
		}
	}
	for i := range m.Summaries {
		if !validSummary(&m.Summaries[i]) {
			return false
		}
	}
	for _, l := range m.Loads {
		if len(l.Kind) > MaxNameSize {
			return false
		}
	}
	return len(m.Loads) <= MaxOffers && len(m.Cursor) <= MaxNameSize
}

// validUpdate reports whether u is within the limits; an update to Alive needs metadata.
func validUpdate(u *Update) bool {
	if u.State > Left || !validID(u.Identity.ID) || len(u.SuspectedBy) > MaxNameSize {
		return false
	}
	if u.Metadata == nil {
		return u.State != Alive
	}
	return validMetadata(u.Metadata)
}

// validMetadata reports whether d has an address and a place and is within the limits.
func validMetadata(d *Metadata) bool {
	if !d.Address.IsValid() || d.Place.Check() != nil || len(d.Offers) > MaxOffers {
		return false
	}
	for _, s := range []string{string(d.Role), d.Place.Region, d.Place.DataCentre, d.Place.Rack} {
		if len(s) > MaxNameSize {
			return false
		}
	}
	for _, o := range d.Offers {
		if len(o.Kind) > MaxNameSize {
			return false
		}
	}
	return metadataSize(d) <= MaxMetadataSize
}

// validSummary reports whether s names its data centre and its source, and is within the limits.
func validSummary(s *Summary) bool {
	if s.Region == "" || s.DataCentre == "" || len(s.Region) > MaxNameSize || len(s.DataCentre) > MaxNameSize {
		return false
	}
	for _, k := range s.Kinds {
		if len(k.Kind) > MaxNameSize {
			return false
		}
	}
	for _, c := range s.Contacts {
		if !validID(c.Identity.ID) || !c.Address.IsValid() {
			return false
		}
	}
	return validID(s.Source) && len(s.Kinds) <= MaxSummaryKinds
}

func validID(id fleet.ID) bool {
	return id != "" && len(id) <= MaxNameSize
}

// addressSize returns an upper bound of the encoded size of a.
func addressSize(a netip.AddrPort) int {
	return a.Addr().BitLen()/8 + len(a.Addr().Zone()) + 4
}

// metadataSize returns an upper bound of the encoded size of d.
func metadataSize(d *Metadata) int {
	n := 24 + len(d.Role) + len(d.Place.Region) + len(d.Place.DataCentre) + len(d.Place.Rack)
	n += addressSize(d.Address)
	for _, o := range d.Offers {
		n += 11 + len(o.Kind)
	}
	return n
}

// updateSize returns an upper bound of the encoded size of u.
func updateSize(u *Update) int {
	n := 30 + len(u.Identity.ID) + len(u.SuspectedBy)
	if u.Metadata != nil {
		n += metadataSize(u.Metadata)
	}
	return n
}

// contactSize returns an upper bound of the encoded size of c.
func contactSize(c *Contact) int {
	return 28 + len(c.Identity.ID) + len(c.Role) + addressSize(c.Address)
}

// summarySize returns an upper bound of the encoded size of s.
func summarySize(s *Summary) int {
	n := 34 + len(s.Region) + len(s.DataCentre) + len(s.Source)
	for i := range s.Kinds {
		n += kindSize(&s.Kinds[i])
	}
	for i := range s.Contacts {
		n += contactSize(&s.Contacts[i])
	}
	return n
}

// kindSize returns an upper bound of the encoded size of k.
func kindSize(k *KindSummary) int {
	return 30 + len(k.Kind)
}

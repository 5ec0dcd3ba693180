package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The bounds of a message.
const (
	// MaxMessageSize is the size of an encoded message, in bytes.
	MaxMessageSize = 1150
	// MaxNameSize is the size of a kind, role, ID or part of a place, in bytes.
	MaxNameSize = 64
	// MaxOffers is the number of kinds that one member may announce.
	MaxOffers = 16
	// MaxSummaryKinds is the number of kinds in a summary.
	MaxSummaryKinds = 24
	// MaxMetadataSize is the estimated size of what a member says of itself, in bytes.
	MaxMetadataSize = 700

	wireVersion = 1
	headerSize  = 90
	maxElements = 64
)

// The errors of the codec.
var (
	// ErrVersion is returned for a packet of another protocol version.
	ErrVersion = errors.New("member: unknown message version")
	// ErrInvalidMessage is returned for a packet that is no valid message.
	ErrInvalidMessage = errors.New("member: bad message")
	// ErrTooLarge is returned for a message that does not fit into a packet.
	ErrTooLarge = errors.New("member: message too large")
)

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the packet that carries m, or ErrTooLarge.
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

// Decode returns the message in b, ErrTooLarge, ErrVersion or ErrMessage.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) > MaxMessageSize {
		return m, ErrTooLarge
	}
	if len(b) == 0 || b[0] != wireVersion {
		return m, ErrVersion
	}
	if err := decoding.Unmarshal(b[1:], &m); err != nil {
		return Message{}, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	if !valid(&m) {
		return Message{}, ErrInvalidMessage
	}
	return m, nil
}

func valid(m *Message) bool {
	if m.Type < Ping || m.Type > Report || !named(m.From.ID) {
		return false
	}
	if m.Type == PingRequest && (!named(m.Target) || !m.Address.IsValid()) {
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

func validUpdate(u *Update) bool {
	if u.State > Left || !named(u.Identity.ID) || len(u.SuspectedBy) > MaxNameSize {
		return false
	}
	if u.Metadata == nil {
		return u.State != Alive
	}
	return validDetail(u.Metadata)
}

func validDetail(d *Metadata) bool {
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
	return detailSize(d) <= MaxMetadataSize
}

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
		if !named(c.Identity.ID) || !c.Address.IsValid() {
			return false
		}
	}
	return named(s.Source) && len(s.Kinds) <= MaxSummaryKinds
}

func named(id fleet.ID) bool {
	return id != "" && len(id) <= MaxNameSize
}

func addressSize(a netip.AddrPort) int {
	return a.Addr().BitLen()/8 + len(a.Addr().Zone()) + 4
}

// detailSize returns an upper bound of the encoded size of d.
func detailSize(d *Metadata) int {
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
		n += detailSize(u.Metadata)
	}
	return n
}

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

func kindSize(k *KindSummary) int {
	return 30 + len(k.Kind)
}

package member_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// TestLargestMembersFitIntoPackets uses the longest names and the most offers that are
// allowed, and expects every message to fit into a packet.
func TestLargestMembersFitIntoPackets(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", member.MaxNameSize-8)
	w := newNetwork(2, 8, 8, 8)
	for i, n := range w.nodes {
		n.self.ID = fleet.ID(long + string(n.self.ID)[5:])
		n.self.Place.Region = long
		n.self.Place.DataCentre += long
		n.self.Place.Rack = long
		a := netip.AddrFrom16([16]byte{0xfd, 1: byte(n.dataCentre), 15: byte(i)})
		n.self.Address = netip.AddrPortFrom(a, 65535)
		w.byAddr[n.self.Address] = n
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	os := make([]member.Offer, member.MaxOffers)
	for i := range os {
		os[i] = member.Offer{Kind: fleet.Kind(string(rune('a'+i)) + long), Limit: 1 << 31}
	}
	w.run(time.Second)
	for i, n := range w.nodes {
		w.step(n, member.SetOffers{Offers: os[i%2 : member.MaxOffers-i%4]})
	}
	w.run(90 * time.Second)
	g.Expect(w.err).NotTo(HaveOccurred())
	g.Expect(w.viewsAgree()).To(BeTrue())
}

func TestDecodeRejectsInvalidAndIgnoresUnknownFields(t *testing.T) {
	g := NewWithT(t)
	b, err := cbor.Marshal(map[int]any{1: member.Gossip, 3: map[int]any{1: "a", 2: 7, 9: "new"}, 99: "new"})
	g.Expect(err).NotTo(HaveOccurred())
	m, err := member.Decode(append([]byte{1}, b...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.From).To(Equal(fleet.ProcessIncarnation{ID: "a", Incarnation: 7}))
	for want, b := range map[error][]byte{
		member.ErrVersion:        append([]byte{2}, b...),
		member.ErrInvalidMessage: {1, 0xa0},
		member.ErrTooLarge:       make([]byte, member.MaxMessageSize+1),
	} {
		_, err := member.Decode(b)
		g.Expect(err).To(MatchError(want))
	}
}

func FuzzDecode(f *testing.F) {
	identity := fleet.ProcessIncarnation{ID: "a", Incarnation: 1}
	at := netip.MustParseAddrPort("10.0.0.1:4000")
	place := fleet.Place{Region: "yug", DataCentre: "yug-burgas"}
	d := &member.Metadata{Role: fleet.RoleAgent, Place: place, Address: at, Offers: []member.Offer{{Kind: "gust", Limit: 1}}}
	for _, m := range []member.Message{
		{Type: member.PingRequest, From: identity, Target: "b", Address: at},
		{Type: member.Pull, From: identity, Updates: []member.Update{{Identity: identity, Metadata: d}}},
		{Type: member.Exchange, From: identity, Summaries: []member.Summary{{
			Region: "sever", DataCentre: "sever-ruse", Source: "c", Members: 1,
			Kinds: []member.KindSummary{{Kind: "gust"}}, Contacts: []member.Contact{{Identity: identity, Address: at}},
		}}},
	} {
		b, err := member.Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := member.Decode(b)
		if err != nil {
			return
		}
		// A Machine accepts every decoded message, and what it sends fits into packets.
		w := newNetwork(1, 3, 1)
		w.run(3 * time.Second)
		w.step(w.nodes[0], member.Packet{From: at, Message: m})
		w.run(10 * time.Second)
		if w.err != nil {
			t.Fatal(w.err)
		}
	})
}

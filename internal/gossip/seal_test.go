package gossip

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// newSealedPacket returns a sealer and a packet that it has sealed.
func newSealedPacket(f interface{ Fatal(...any) }) (sealer, []byte) {
	r := &KeyRing{}
	r.Set([]Key{{1}})
	s := sealer{source: r}
	b, err := s.seal(&member.Message{Type: member.Gossip, From: fleet.ProcessIncarnation{ID: "a", Incarnation: 1}})
	if err != nil {
		f.Fatal(err)
	}
	return s, b
}

func TestModifiedPacketIsRejected(t *testing.T) {
	g := NewWithT(t)
	s, b := newSealedPacket(t)
	_, err := s.open(b)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range b {
		b[i] ^= 1
		_, err := s.open(b)
		g.Expect(err).To(MatchError(ErrBadPacket))
		b[i] ^= 1
	}
}

func FuzzOpen(f *testing.F) {
	s, b := newSealedPacket(f)
	f.Add(b)
	f.Fuzz(func(t *testing.T, p []byte) {
		if m, err := s.open(p); err == nil && m.From.ID != "a" {
			t.Fatal("opened a packet that was not sealed with the key")
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	s, p := newSealedPacket(b)
	m, err := s.open(p)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		p, _ = s.seal(&m)
		_, _ = s.open(p)
	}
}

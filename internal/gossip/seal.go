package gossip

import (
	"crypto/cipher"
	"crypto/rand"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
)

// packetByte begins every packet; it names the format and is less than 0x40.
const packetByte = 0x01

// SealOverhead is what sealing adds to a message, in bytes.
const SealOverhead = 1 + chacha20poly1305.NonceSizeX + chacha20poly1305.Overhead

// ErrBadPacket is returned for a packet that no key opens.
var ErrBadPacket = errors.New("gossip: bad packet")

// A Key seals packets between the processes of one fleet.
type Key [chacha20poly1305.KeySize]byte

// A KeySource has the keys in use: the first seals, all open.
type KeySource interface {
	Keys() []Key
}

// A KeyRing is a KeySource whose keys are replaced at run time. A new key is first added
// last everywhere, then put first everywhere, then the old one is removed everywhere.
type KeyRing struct{ keys atomic.Pointer[[]Key] }

// Set replaces the keys.
func (r *KeyRing) Set(ks []Key) {
	r.keys.Store(&ks)
}

// Keys returns the keys.
func (r *KeyRing) Keys() []Key {
	if ks := r.keys.Load(); ks != nil {
		return *ks
	}
	return nil
}

// A sealer seals and opens packets with XChaCha20-Poly1305, whose nonces are long enough to be
// random. Packets are not numbered: a replayed statement is older than or equal to what it was
// merged into, a replayed answer names a sequence that no probe waits for, and a replayed
// revision is no newer than the one in force, so that a copy changes nothing.
// A sealer is used by one goroutine.
type sealer struct {
	source KeySource
	aeads  map[Key]cipher.AEAD
}

// seal returns the packet for m, ErrNoKey or an error of member.Encode.
func (s *sealer) seal(m *member.Message) ([]byte, error) {
	b, err := member.Encode(m)
	if err != nil {
		return nil, err
	}
	ks := s.source.Keys()
	if len(ks) == 0 {
		return nil, ErrNoKey
	}
	p := make([]byte, 1+chacha20poly1305.NonceSizeX, len(b)+SealOverhead)
	p[0] = packetByte
	nonce := p[1:]
	// The runtime's reader returns no error; it ends the process instead.
	_, _ = rand.Read(nonce)
	return s.aead(ks[0], len(ks)).Seal(p, nonce, b, p[:1]), nil
}

// open returns the message in p, ErrSeal or an error of member.Decode.
func (s *sealer) open(p []byte) (member.Message, error) {
	if len(p) < SealOverhead || p[0] != packetByte {
		return member.Message{}, ErrBadPacket
	}
	nonce, text := p[1:1+chacha20poly1305.NonceSizeX], p[1+chacha20poly1305.NonceSizeX:]
	ks := s.source.Keys()
	for _, k := range ks {
		if b, err := s.aead(k, len(ks)).Open(nil, nonce, text, p[:1]); err == nil {
			return member.Decode(b)
		}
	}
	return member.Message{}, ErrBadPacket
}

// aead returns the cipher of k, and forgets those of old keys where it holds more than n.
func (s *sealer) aead(k Key, n int) cipher.AEAD {
	if a, ok := s.aeads[k]; ok {
		return a
	}
	if s.aeads == nil || len(s.aeads) >= n {
		s.aeads = map[Key]cipher.AEAD{}
	}
	a, err := chacha20poly1305.NewX(k[:])
	if err != nil {
		panic(err)
	}
	s.aeads[k] = a
	return a
}

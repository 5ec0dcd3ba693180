package gossip

import (
	"crypto/cipher"
	"crypto/rand"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
)

// packetFormat is the first byte of every packet. It identifies the format, and is less than
// 0x40 to distinguish the packets from QUIC packets.
const packetFormat = 0x01

// SealOverhead is the number of bytes that sealing adds to a message.
const SealOverhead = 1 + chacha20poly1305.NonceSizeX + chacha20poly1305.Overhead

// ErrBadPacket is returned for a packet that is malformed or that no key opens.
var ErrBadPacket = errors.New("gossip: packet is malformed or not authentic")

// A Key is a secret key that the processes of one fleet share to encrypt their packets.
type Key [chacha20poly1305.KeySize]byte

// A KeySource returns the keys in use. Packets are sealed with the first key and opened with
// any of them.
type KeySource interface {
	Keys() []Key
}

// A KeyRing is a KeySource whose keys can be replaced at run time. To rotate keys, append the
// new key in all processes, then move it to the front in all processes, then remove the old
// key from all processes.
type KeyRing struct{ keys atomic.Pointer[[]Key] }

// Set replaces the keys, which must not be modified afterwards.
func (r *KeyRing) Set(ks []Key) {
	r.keys.Store(&ks)
}

// Keys implements KeySource.
func (r *KeyRing) Keys() []Key {
	if ks := r.keys.Load(); ks != nil {
		return *ks
	}
	return nil
}

// A sealer seals and opens packets with XChaCha20-Poly1305, whose nonces are long enough to be
// chosen at random. There is no replay protection, because a replayed packet changes nothing:
// its statements are no newer than the merged state, its answer names a sequence number that
// no probe waits for, and its revision is no newer than the one in force.
// A sealer must be used by one goroutine only.
type sealer struct {
	source KeySource
	aeads  map[Key]cipher.AEAD
}

// seal returns the packet for m. Its error is ErrNoKey or that of member.Encode.
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
	p[0] = packetFormat
	nonce := p[1:]
	// crypto/rand never returns an error; it ends the process instead.
	_, _ = rand.Read(nonce)
	return s.aead(ks[0], len(ks)).Seal(p, nonce, b, p[:1]), nil
}

// open returns the message in p. Its error is ErrBadPacket or that of member.Decode.
func (s *sealer) open(p []byte) (member.Message, error) {
	if len(p) < SealOverhead || p[0] != packetFormat {
		return member.Message{}, ErrBadPacket
	}
	nonce, ciphertext := p[1:1+chacha20poly1305.NonceSizeX], p[1+chacha20poly1305.NonceSizeX:]
	ks := s.source.Keys()
	for _, k := range ks {
		if b, err := s.aead(k, len(ks)).Open(nil, nonce, ciphertext, p[:1]); err == nil {
			return member.Decode(b)
		}
	}
	return member.Message{}, ErrBadPacket
}

// aead returns the cipher of k, which it caches. If the cache already holds n ciphers, the
// number of keys in use, it is cleared first to discard those of old keys.
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

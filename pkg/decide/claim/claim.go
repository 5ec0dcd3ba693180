// Package claim decides which request of an unrepeatable kind may run. Each
// idempotency key is granted once, after its record is in the shard's journal.
package claim

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/record"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Version is the format version of the records and snapshots that this package writes.
const Version = 1

// MaxRecordBytes is the maximum size of one encoded record.
const MaxRecordBytes = 1 << 10

// The errors of a claim. A call that fails with one of them has granted nothing.
var (
	// ErrAlreadyGranted is returned for a key that is already granted.
	ErrAlreadyGranted = errors.New("claim: already granted")
	// ErrNotCommitted is returned if the journal did not commit the claim.
	ErrNotCommitted = errors.New("claim: not committed")
	// ErrFull is returned while the shard holds its maximum number of keys.
	ErrFull = errors.New("claim: full")
	// ErrBadRecord is returned for bytes that do not encode a record of a known version.
	ErrBadRecord = errors.New("claim: bad record")
)

// A Digest is the hash of a caller's idempotency key and its kind.
type Digest [sha256.Size]byte

// KeyDigest returns the digest of a caller's idempotency key for a kind of work.
func KeyDigest(k fleet.Kind, key string) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(k))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return Digest(h.Sum(nil))
}

// An Op is the operation of a record.
type Op uint8

// The operations on a shard's claims.
const (
	// OpGrant grants a key.
	OpGrant Op = iota + 1
	// OpAnswered records that the request was answered.
	OpAnswered
	// OpRelease records that the request provably did not run.
	OpRelease
)

// A Record is one change of a shard's claims, as stored in its journal.
type Record struct {
	Version uint8 `cbor:"1,keyasint"`
	Op      Op    `cbor:"2,keyasint"`
	// At is the owner's clock reading, as the time since the Unix epoch.
	At  time.Duration `cbor:"3,keyasint"`
	Key Digest        `cbor:"4,keyasint"`
	// Grant numbers the grants of one key, starting at 1.
	Grant uint64 `cbor:"5,keyasint"`
}

// Encode returns the journal encoding of r.
func (r Record) Encode() ([]byte, error) {
	return record.Encode(r)
}

// Decode returns the record encoded in b, or ErrBadRecord.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := record.Decode(b, MaxRecordBytes, ErrBadRecord, &r); err != nil {
		return r, err
	}
	if r.Version != Version || r.Op < OpGrant || r.Op > OpRelease || r.Grant == 0 {
		return r, errors.WithMessage(ErrBadRecord, "fields")
	}
	return r, nil
}

// A Token numbers the commits of one Machine in ascending order.
type Token uint64

// A RequestID identifies a call, so that its reply can be matched to it.
type RequestID uint64

// An Event is an input of a Machine.
type Event interface{ event() }

// Claim requests the grant of a key.
type Claim struct {
	Request RequestID
	Key     Digest
}

// Report carries the outcome of a grant: Answered, or NotRun if it is proved
// that the request did not run. After NotRun the key may be claimed again.
type Report struct {
	Key     Digest
	Grant   uint64
	Outcome fleet.Outcome
}

// Committed reports that every commit up to Token is in the journal.
type Committed struct{ Token Token }

// StoreUnavailable reports that the store is unreachable, so that pending claims
// are answered with ErrNotCommitted. Their records may still be committed.
type StoreUnavailable struct{}

// OwnershipLost reports that another owner writes the journal.
type OwnershipLost struct{}

func (Claim) event()            {}
func (Report) event()           {}
func (Committed) event()        {}
func (StoreUnavailable) event() {}
func (OwnershipLost) event()    {}

// An Action is an output of a Machine, to be carried out by its caller.
type Action interface{ action() }

// Commit appends records to the journal, after those with a lower Token.
type Commit struct {
	Records []Record
	Token   Token
}

// Reply answers a claim. Err is nil for a grant; with ErrAlreadyGranted,
// Outcome is the last known outcome of the earlier grant.
type Reply struct {
	Request RequestID
	Key     Digest
	Grant   uint64
	Outcome fleet.Outcome
	Err     error
}

func (Commit) action() {}
func (Reply) action()  {}

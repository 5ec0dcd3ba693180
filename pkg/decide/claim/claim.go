// Package claim decides which request of an unrepeatable kind may run: a key
// is granted once, after its record is in the shard's journal.
package claim

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/record"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Version is the version of the records that this package writes.
const Version = 1

// MaxRecordBytes bounds one encoded record.
const MaxRecordBytes = 1 << 10

// The errors of a claim. After each of them nothing was granted by the call.
var (
	// ErrAlreadyGranted is returned for a key that was granted before.
	ErrAlreadyGranted = errors.New("claim: already granted")
	// ErrNotCommitted is returned where the journal has not taken the claim.
	ErrNotCommitted = errors.New("claim: not committed")
	// ErrFull is returned while the shard holds as many keys as it may.
	ErrFull = errors.New("claim: full")
	// ErrBadRecord is returned for bytes that are no record of a known version.
	ErrBadRecord = errors.New("claim: bad record")
)

// A Digest names a caller's key within its kind.
type Digest [sha256.Size]byte

// KeyDigest returns the digest of a caller's key for a kind of work.
func KeyDigest(k fleet.Kind, key string) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(k))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return Digest(h.Sum(nil))
}

// An Op says what a record changes.
type Op uint8

// The changes of a shard's claims.
const (
	// OpGrant grants a key.
	OpGrant Op = iota + 1
	// OpAnswered notes that the request was answered.
	OpAnswered
	// OpRelease notes the proof that the request was not run.
	OpRelease
)

// A Record is one change of a shard's claims, as its journal holds it.
type Record struct {
	Version uint8 `cbor:"1,keyasint"`
	Op      Op    `cbor:"2,keyasint"`
	// At is the owner's time since the Unix epoch.
	At  time.Duration `cbor:"3,keyasint"`
	Key Digest        `cbor:"4,keyasint"`
	// Grant numbers the grants of one key, from 1.
	Grant uint64 `cbor:"5,keyasint"`
}

// Encode returns r as the journal keeps it.
func (r Record) Encode() ([]byte, error) {
	return record.Encode(r)
}

// Decode returns the record in b, or ErrBadRecord.
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

// A Token orders the commits of one Machine.
type Token uint64

// A RequestID names a call, so that its reply can be matched.
type RequestID uint64

// An Event is what a Machine is told.
type Event interface{ event() }

// Claim asks that a key be granted.
type Claim struct {
	Request RequestID
	Key     Digest
}

// Report tells the outcome of a grant: Answered, or NotRun with its proof,
// after which the key may be claimed again.
type Report struct {
	Key     Digest
	Grant   uint64
	Outcome fleet.Outcome
}

// Committed tells that every commit up to Token is in the journal.
type Committed struct{ Token Token }

// StoreUnavailable tells that the claims that wait are to be answered now, as the
// store is out of reach. Their records may still be committed.
type StoreUnavailable struct{}

// OwnershipLost tells that another owner writes the journal.
type OwnershipLost struct{}

func (Claim) event()            {}
func (Report) event()           {}
func (Committed) event()        {}
func (StoreUnavailable) event() {}
func (OwnershipLost) event()    {}

// An Action is what a Machine wants done.
type Action interface{ action() }

// Commit appends records to the journal, after those of lower tokens.
type Commit struct {
	Records []Record
	Token   Token
}

// Reply answers a claim. Err is nil for a grant; with ErrAlreadyGranted,
// Outcome is what is known of the earlier grant.
type Reply struct {
	Request RequestID
	Key     Digest
	Grant   uint64
	Outcome fleet.Outcome
	Err     error
}

func (Commit) action() {}
func (Reply) action()  {}

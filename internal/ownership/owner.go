package ownership

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrNoOwner means that no process owns the shard.
var ErrNoOwner = errors.New("ownership: shard has no owner")

// An Owner is the process that owns a shard.
type Owner struct {
	Process fleet.ProcessIncarnation `cbor:"1,keyasint"`
	Address netip.AddrPort           `cbor:"2,keyasint"`
}

// Locate reads the owner of a shard from the store, or returns ErrNoOwner.
func Locate(ctx context.Context, s store.Reader, shard int) (Owner, error) {
	p, err := s.Get(ctx, ownerKey(shard))
	if errors.Is(err, store.ErrNotFound) || err == nil && p.Lease == "" {
		return Owner{}, ErrNoOwner
	}
	if err != nil {
		return Owner{}, err
	}
	return decodeOwner(p.Value)
}

// decodeOwner decodes the value of an owner key.
func decodeOwner(b []byte) (Owner, error) {
	var o Owner
	err := cbor.Unmarshal(b, &o)
	return o, errors.Wrap(err, "ownership: decode owner")
}

// ownerKey returns the store key that the owner of a shard holds with its lease.
func ownerKey(shard int) string {
	return fmt.Sprintf("shard/%d/owner", shard)
}

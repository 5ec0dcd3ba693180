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

// ErrNoOwner means no process owns the shard now.
var ErrNoOwner = errors.New("ownership: shard has no owner")

// An Owner is the process that owns a shard.
type Owner struct {
	Process fleet.ProcessIncarnation `cbor:"1,keyasint"`
	Address netip.AddrPort           `cbor:"2,keyasint"`
}

// Locate reads the owner of a shard from the store, or returns ErrNoOwner.
func Locate(ctx context.Context, s store.Reader, shard int) (Owner, error) {
	p, err := s.Get(ctx, key(shard))
	if errors.Is(err, store.ErrNotFound) || err == nil && p.Lease == "" {
		return Owner{}, ErrNoOwner
	}
	if err != nil {
		return Owner{}, err
	}
	return decode(p.Value)
}

// decode reads the value of an owner's key.
func decode(b []byte) (Owner, error) {
	var o Owner
	err := cbor.Unmarshal(b, &o)
	return o, errors.Wrap(err, "ownership: value")
}

// key returns the key that the owner of a shard holds.
func key(shard int) string {
	return fmt.Sprintf("shard/%d/owner", shard)
}

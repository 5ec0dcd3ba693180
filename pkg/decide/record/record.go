// Package record encodes journal records as deterministic CBOR (RFC 8949,
// section 4.2) and decodes them within limits.
package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The limits on the nesting and on the arrays and maps of one record.
const (
	maxNesting  = 8
	maxElements = 1 << 20
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the journal encoding of v.
func Encode[T any](v T) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errors.WithStack(err)
}

// Decode decodes b into v. It wraps badRecord if b is longer than limit or malformed.
func Decode[T any](b []byte, limit int, badRecord error, v *T) error {
	if len(b) > limit {
		return errors.WithMessage(badRecord, "size")
	}
	if err := decoder.Unmarshal(b, v); err != nil {
		return errors.WithMessage(badRecord, err.Error())
	}
	return nil
}

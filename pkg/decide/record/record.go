// Package record encodes the records of journals as deterministic CBOR (RFC
// 8949, section 4.2) and reads them within bounds.
package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The bounds of one record.
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

// Encode returns v as a journal keeps it.
func Encode[T any](v T) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errors.WithStack(err)
}

// Decode reads b, which has at most limit bytes, into v; every failure is bad.
func Decode[T any](b []byte, limit int, bad error, v *T) error {
	if len(b) > limit {
		return errors.WithMessage(bad, "size")
	}
	if err := decoder.Unmarshal(b, v); err != nil {
		return errors.WithMessage(bad, err.Error())
	}
	return nil
}

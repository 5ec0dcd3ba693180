// Package codec encodes the messages between the system's own processes as CBOR (RFC 8949).
// Its limits are checked before memory is allocated.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrMalformed is returned for bytes that don't decode as the expected message.
var ErrMalformed = errors.New("codec: malformed message")

// The limits of one message.
const (
	maxElements      = 65536
	maxNestingLevels = 16
)

var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestingLevels,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode())
)

// must returns v, and panics if there is an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns v as CBOR.
func Encode[T any](v T) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errors.Wrap(err, "codec: encode")
}

// Decode decodes a T. It ignores unknown fields, so that messages of a newer version can be
// read. Its error is ErrMalformed.
func Decode[T any](b []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(b, &v); err != nil {
		return v, errors.Wrap(ErrMalformed, err.Error())
	}
	return v, nil
}

// Package codec encodes the messages between the system's own processes as
// CBOR (RFC 8949) with bounds that hold before memory is spent.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrMalformed is returned for bytes that are not the message expected.
var ErrMalformed = errors.New("codec: malformed message")

// The bounds of one message.
const (
	maxElements = 65536
	maxNesting  = 16
)

var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode())
)

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

// Decode reads a T. Unknown fields are ignored, so that a newer sender is
// understood; anything else that does not fit is ErrMalformed.
func Decode[T any](b []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(b, &v); err != nil {
		return v, errors.Wrap(ErrMalformed, err.Error())
	}
	return v, nil
}

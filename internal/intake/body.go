package intake

import (
	"io"

	"github.com/pkg/errors"
)

// The sizes through which the buffer of a body grows before it has the announced size. Bodies that
// have sent so much get the rest at once, so that several bodies that grow do not each hold a
// part of the budget and wait for each other.
const (
	initialBodyBytes = 4 << 10
	nextBodyBytes    = 16 << 10
)

// unannouncedGrowth is the factor by which the buffer of a body without an announced length grows.
const unannouncedGrowth = 4

// ReadAll reads a body to its end into a buffer that grows as the bytes arrive, and reserves the
// buffer's capacity in r. The length is the announced one, or negative; limit bounds either. After
// an error the caller still has to release r. The check is called before each read with the bytes
// read so far.
func ReadAll(body io.Reader, length, limit int64, r *Reservation, check func(read int64) error) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		limit = length
	}
	var b []byte
	for {
		if int64(len(b)) == limit {
			return b, expectEOF(body)
		}
		if len(b) == cap(b) {
			capacity := limit
			switch {
			case b == nil:
				capacity = min(initialBodyBytes, limit)
			case cap(b) < nextBodyBytes:
				capacity = min(nextBodyBytes, limit)
			case length < 0:
				capacity = min(unannouncedGrowth*int64(cap(b)), limit)
			}
			if err := r.Reserve(capacity); err != nil {
				return nil, err
			}
			old := int64(cap(b))
			b = append(make([]byte, 0, capacity), b...)
			r.Shrink(old)
		}
		if check != nil {
			if err := check(int64(len(b))); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
}

// expectEOF returns nil if r is at its end, and ErrTooLarge if it has more.
func expectEOF(r io.Reader) error {
	var one [1]byte
	_, err := io.ReadFull(r, one[:])
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return bodyError(err)
	default:
		return ErrTooLarge
	}
}

// bodyError maps an error of reading a body to ErrTimeout or ErrTruncated.
func bodyError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrTimeout
	}
	return errors.Wrap(ErrTruncated, err.Error())
}

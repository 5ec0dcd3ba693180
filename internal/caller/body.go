package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// initialBodyBytes is the initial size of a body's buffer.
const initialBodyBytes = 16 << 10

// parse reads the whole request, its body included, within the server's bounds.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*Request, error) {
	q, err := Parse(r)
	if err != nil {
		return nil, err
	}
	if r.ContentLength > int64(s.MaxBody) {
		return nil, ErrBodyTooLarge
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.BodyTimeout))
	q.Body, err = s.readBody(r)
	if err != nil {
		return nil, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return q, nil
}

// readBody reads a body into a buffer that grows as the bytes arrive, so that a
// caller reserves no more than about twice what it sent. On success the caller of
// readBody must release cap(body) bytes from bufferedBytes.
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	limit := int(s.MaxBody)
	if r.ContentLength >= 0 {
		limit = int(r.ContentLength)
	}
	b, err := s.readAll(r.Body, limit)
	if err != nil {
		s.bufferedBytes.Release(int64(cap(b)))
		return nil, err
	}
	return b, nil
}

// readAll reads r to its end, at most limit bytes. The reservation of cap(b) bytes
// is left to the caller, also after an error.
func (s *Server) readAll(r io.Reader, limit int) (b []byte, err error) {
	for {
		if len(b) == limit {
			return b, expectEOF(r)
		}
		if len(b) == cap(b) {
			if b, err = s.growBuffer(b, limit); err != nil {
				return b, err
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, bodyError(err)
		}
	}
}

// growBuffer returns b with its capacity doubled, but no more than limit.
func (s *Server) growBuffer(b []byte, limit int) ([]byte, error) {
	capacity := min(max(initialBodyBytes, 2*cap(b)), limit)
	if !s.bufferedBytes.TryAcquire(int64(capacity)) {
		return b, ErrBuffersFull
	}
	out := make([]byte, len(b), capacity)
	copy(out, b)
	s.bufferedBytes.Release(int64(cap(b)))
	return out, nil
}

// expectEOF returns nil if r is at its end, and ErrBodyTooLarge if it has more.
func expectEOF(r io.Reader) error {
	var one [1]byte
	_, err := io.ReadFull(r, one[:])
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return bodyError(err)
	default:
		return ErrBodyTooLarge
	}
}

// bodyError maps an error of reading a body to ErrBodyTimeout or ErrBodyTruncated.
func bodyError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrBodyTimeout
	}
	return errors.Wrap(ErrBodyTruncated, err.Error())
}

package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// firstRoom is what a body's buffer holds at first, in bytes.
const firstRoom = 16 << 10

// parse reads the whole request within the server's bounds.
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

// readBody reads a body into room that it reserves as the bytes come in, so
// that a caller holds no more than about twice what it sent. The caller of
// readBody releases cap(body).
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	limit := int(s.MaxBody)
	if r.ContentLength >= 0 {
		limit = int(r.ContentLength)
	}
	b, err := s.fill(r.Body, limit)
	if err != nil {
		s.buffered.Release(int64(cap(b)))
		return nil, err
	}
	return b, nil
}

// fill reads r to its end; cap(b) is reserved also where it fails.
func (s *Server) fill(r io.Reader, limit int) (b []byte, err error) {
	for {
		if len(b) == limit {
			return b, atEnd(r)
		}
		if len(b) == cap(b) {
			if b, err = s.grow(b, limit); err != nil {
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

// grow returns b with twice the room.
func (s *Server) grow(b []byte, limit int) ([]byte, error) {
	room := min(max(firstRoom, 2*cap(b)), limit)
	if !s.buffered.TryAcquire(int64(room)) {
		return b, ErrBuffersFull
	}
	out := make([]byte, len(b), room)
	copy(out, b)
	s.buffered.Release(int64(cap(b)))
	return out, nil
}

// atEnd returns nil where nothing more comes from r.
func atEnd(r io.Reader) error {
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

func bodyError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrBodyTimeout
	}
	return errors.Wrap(ErrBodyTruncated, err.Error())
}

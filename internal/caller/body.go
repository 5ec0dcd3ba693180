package caller

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/intake"
)

// parse reads the whole request, its body included, within the server's bounds. On success
// the caller of parse must release the body once the request is answered.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*Request, *intake.Body, error) {
	q, err := Parse(r)
	if err != nil {
		return nil, nil, err
	}
	if r.ContentLength > int64(s.MaxBody) {
		return nil, nil, ErrBodyTooLarge
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(s.BodyTimeout))
	b, err := s.intake.ReadBody(w, r, int64(s.MaxBody))
	if err != nil {
		return nil, nil, bodyError(err)
	}
	_ = c.SetReadDeadline(time.Time{})
	q.Body = b.Bytes
	return q, b, nil
}

// bodyError maps an error of reading a body to that which is sent to the caller.
func bodyError(err error) error {
	switch {
	case errors.Is(err, intake.ErrBusy):
		return ErrBuffersFull
	case errors.Is(err, intake.ErrTooLarge), errors.Is(err, intake.ErrOverhead):
		return ErrBodyTooLarge
	case errors.Is(err, intake.ErrTimeout):
		return ErrBodyTimeout
	}
	return errors.Wrap(ErrBodyTruncated, err.Error())
}

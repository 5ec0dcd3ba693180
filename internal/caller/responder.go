package caller

import (
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Responder gives one answer to a caller.
type Responder interface {
	// Refuse tells that the request was not run.
	Refuse(status int, reason string, retryAfter time.Duration)
	// ReportUnknown tells that the request may have run.
	ReportUnknown(status int, reason string)
	// Answer passes a target's answer on, until a moment after the deadline at
	// most, also to a caller that reads slowly or not at all. Errors are ErrGone where the caller
	// takes no more, or that of body; the handler must then break the connection
	// by panicking with http.ErrAbortHandler, so that a cut answer never looks whole.
	Answer(deadline time.Time, status int, header http.Header, body io.Reader) error
}

// writeGrace is how long a caller may take for a short answer, and for the last
// bytes of an answer after the request's deadline.
const writeGrace = 2 * time.Second

// ErrGone is returned where the caller takes no more of the answer.
var ErrGone = errors.New("caller: gone")

type responder struct {
	w http.ResponseWriter
}

// statuses are what malformed requests are told.
var statuses = []struct {
	err    error
	status int
}{
	{ErrBadKind, http.StatusNotFound},
	{ErrBadKey, http.StatusBadRequest},
	{ErrBadPath, http.StatusBadRequest},
	{ErrBodyTooLarge, http.StatusRequestEntityTooLarge},
	{ErrBodyTimeout, http.StatusRequestTimeout},
	{ErrBodyTruncated, http.StatusBadRequest},
	{ErrBuffersFull, http.StatusServiceUnavailable},
	{ErrUpgradeUnsupported, http.StatusNotImplemented},
}

// refuse answers a malformed request.
func (p *responder) refuse(err error) {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			p.Refuse(s.status, s.err.Error(), 0)
			return
		}
	}
	p.Refuse(http.StatusBadRequest, "the request is malformed", 0)
}

func (p *responder) Refuse(status int, reason string, retryAfter time.Duration) {
	h := p.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	p.plain(status, fleet.NotRun, reason)
}

func (p *responder) ReportUnknown(status int, reason string) {
	p.plain(status, fleet.Unknown, reason)
}

func (p *responder) plain(status int, o fleet.Outcome, reason string) {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(writeGrace))
	h := p.w.Header()
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderReason, reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	p.w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = io.WriteString(p.w, string(o)+": "+reason+"\n")
}

func (p *responder) Answer(deadline time.Time, status int, header http.Header, body io.Reader) error {
	_ = http.NewResponseController(p.w).SetWriteDeadline(deadline.Add(writeGrace))
	h := p.w.Header()
	maps.Copy(h, endToEnd(header))
	h.Set(HeaderOutcome, string(fleet.Answered))
	p.w.WriteHeader(status)
	_, err := io.Copy(flusher{p.w}, body)
	return err
}

// A flusher sends each part on at once.
type flusher struct {
	w http.ResponseWriter
}

func (f flusher) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	if err != nil {
		return n, errors.Wrap(ErrGone, err.Error())
	}
	return n, nil
}

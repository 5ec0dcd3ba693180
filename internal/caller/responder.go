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

// A Responder sends the one response to a caller's request.
type Responder interface {
	// Refuse responds that the request was not run.
	Refuse(status int, reason string, retryAfter time.Duration)
	// ReportUnknown responds that the request may have run.
	ReportUnknown(status int, reason string)
	// Answer forwards a target's answer. It returns shortly after the deadline at
	// the latest, also if the caller reads slowly or not at all. The error is
	// ErrGone if writing to the caller fails, or the error of reading body. The
	// handler must then break the connection by panicking with
	// http.ErrAbortHandler, so that a truncated answer never looks complete.
	Answer(deadline time.Time, status int, header http.Header, body io.Reader) error
}

// writeGrace bounds the time to write a response without a target's answer, and how
// long after the request's deadline a target's answer may still be written.
const writeGrace = 2 * time.Second

// buffersFullRetryAfter is the Retry-After while the buffers for bodies are full, which bodies leave
// within BodyTimeout.
const buffersFullRetryAfter = time.Second

// ErrGone is returned if the answer cannot be written to the caller any more.
var ErrGone = errors.New("caller: cannot write the answer")

// A responder is the Responder of one HTTP request.
type responder struct {
	w http.ResponseWriter
}

// errorStatuses are the statuses for the errors of requests that cannot be served.
var errorStatuses = []struct {
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

// refuseMalformed refuses a request that failed to parse with err.
func (p *responder) refuseMalformed(err error) {
	for _, s := range errorStatuses {
		if errors.Is(err, s.err) {
			var after time.Duration
			if s.status == http.StatusServiceUnavailable {
				after = buffersFullRetryAfter
			}
			p.Refuse(s.status, s.err.Error(), after)
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
	p.writeText(status, fleet.NotRun, reason)
}

func (p *responder) ReportUnknown(status int, reason string) {
	p.writeText(status, fleet.Unknown, reason)
}

// writeText writes a response whose body is the outcome and the reason.
func (p *responder) writeText(status int, o fleet.Outcome, reason string) {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(writeGrace))
	h := p.w.Header()
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderReason, reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	p.w.WriteHeader(status)
	// If the caller's connection is gone, nobody needs the response.
	_, _ = io.WriteString(p.w, string(o)+": "+reason+"\n")
}

func (p *responder) Answer(deadline time.Time, status int, header http.Header, body io.Reader) error {
	_ = http.NewResponseController(p.w).SetWriteDeadline(deadline.Add(writeGrace))
	h := p.w.Header()
	maps.Copy(h, endToEndHeaders(header))
	h.Set(HeaderOutcome, string(fleet.Answered))
	p.w.WriteHeader(status)
	_, err := io.Copy(flushWriter{p.w}, body)
	return err
}

// A flushWriter flushes after each write, so that the caller gets each part of the
// answer without delay.
type flushWriter struct {
	w http.ResponseWriter
}

func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	if err != nil {
		return n, errors.Wrap(ErrGone, err.Error())
	}
	return n, nil
}

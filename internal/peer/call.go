package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/liveness"
)

// An Operation identifies the handler that serves an exchange.
type Operation string

// streamHeader is the first message of every stream and selects its handler.
type streamHeader struct {
	Version   int       `cbor:"1,keyasint"`
	Operation Operation `cbor:"2,keyasint"`
}

// streamHeaderVersion is the version of the stream header that this process writes.
const streamHeaderVersion = 1

// streamHeaderTimeout bounds the wait for a peer's stream header.
const streamHeaderTimeout = 5 * time.Second

// A RemoteError is an error that a peer's handler returned.
type RemoteError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Error returns the message of the peer's error.
func (r *RemoteError) Error() string {
	return r.Message
}

// A codedError is an error that is sent under a code, by which the receiver recognises it.
type codedError struct {
	code string
	err  error
}

var (
	codedErrorsMu sync.RWMutex
	codedErrors   []codedError
)

// RegisterErrorCode assigns code to err and returns err. If a handler returns an error that
// wraps err, errors.Is reports err for the error that the caller receives.
func RegisterErrorCode(code string, err error) error {
	codedErrorsMu.Lock()
	defer codedErrorsMu.Unlock()
	codedErrors = append(codedErrors, codedError{code: code, err: err})
	return err
}

// newRemoteError returns err as it is sent, with the code of the first registered error that
// it wraps.
func newRemoteError(err error) *RemoteError {
	codedErrorsMu.RLock()
	defer codedErrorsMu.RUnlock()
	for _, c := range codedErrors {
		if errors.Is(err, c.err) {
			return &RemoteError{Code: c.code, Message: err.Error()}
		}
	}
	return &RemoteError{Message: err.Error()}
}

// Is reports whether target is registered under the code of r.
func (r *RemoteError) Is(target error) bool {
	codedErrorsMu.RLock()
	defer codedErrorsMu.RUnlock()
	for _, c := range codedErrors {
		if c.code == r.Code && c.err == target {
			return true
		}
	}
	return false
}

// A reply is the message that answers a call: an error or an answer.
type reply[A any] struct {
	Error  *RemoteError `cbor:"1,keyasint,omitempty"`
	Answer A            `cbor:"2,keyasint"`
}

// A StreamHandler serves one exchange; the stream is closed when it returns.
type StreamHandler func(ctx context.Context, s *Stream) error

// Handlers holds the handlers of the operations that a node serves.
type Handlers struct {
	mu          sync.RWMutex
	byOperation map[Operation]StreamHandler
}

// Register adds the handler of an operation.
func (h *Handlers) Register(o Operation, f StreamHandler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byOperation == nil {
		h.byOperation = make(map[Operation]StreamHandler)
	}
	h.byOperation[o] = f
}

// Handle registers f for calls of an operation, which have one request and one answer.
func Handle[Q, A any](h *Handlers, o Operation, f func(context.Context, Q) (A, error)) {
	h.Register(o, func(ctx context.Context, s *Stream) error {
		q, err := Receive[Q](s)
		if err != nil {
			return err
		}
		var r reply[A]
		r.Answer, err = f(ctx, q)
		if err != nil {
			r.Error = newRemoteError(err)
		}
		return Send(s, r)
	})
}

// serve handles one stream and aborts it if that fails.
func (h *Handlers) serve(ctx context.Context, s *Stream, l *log.Logger) {
	if err := h.dispatch(ctx, s); err != nil {
		l.Debug().Str("event", "exchangeFailed").Err(err).Msg("")
		s.Abort()
		return
	}
	_ = s.CloseWrite()
	s.cancelRead()
}

// dispatch reads the stream header and runs the handler of its operation.
func (h *Handlers) dispatch(ctx context.Context, s *Stream) error {
	_ = s.SetDeadline(time.Now().Add(streamHeaderTimeout))
	o, err := Receive[streamHeader](s)
	if err != nil {
		return err
	}
	_ = s.SetDeadline(time.Time{})
	h.mu.RLock()
	f := h.byOperation[o.Operation]
	h.mu.RUnlock()
	if f == nil {
		return errors.Errorf("peer: unknown operation %q", o.Operation)
	}
	return f(ctx, s)
}

// OpenStream starts an exchange. The caller must end it by Abort, even after it has read the
// whole answer. Any error is ErrNotSent: nothing has reached the handler.
func (n *Node) OpenStream(ctx context.Context, to netip.AddrPort, o Operation) (*Stream, error) {
	w, err := n.connectionTo(ctx, to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	q, err := w.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	w.step(liveness.Sent)
	s := &Stream{s: q, watcher: w}
	if err := Send(s, streamHeader{Version: streamHeaderVersion, Operation: o}); err != nil {
		s.Abort()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return s, nil
}

// Call sends q and returns the answer. Its error is ErrNotSent if the handler has certainly
// not received the call, ErrBroken if it may have been executed, or the handler's own error.
func Call[Q, A any](ctx context.Context, n *Node, to netip.AddrPort, o Operation, q Q) (A, error) {
	var zero A
	s, err := n.OpenStream(ctx, to, o)
	if err != nil {
		return zero, err
	}
	defer s.reportEnded()
	defer s.cancelRead()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := Send(s, q); err != nil && !IsReadCancelled(err) {
		s.Abort()
		return zero, errors.Wrap(ErrBroken, err.Error())
	}
	_ = s.CloseWrite()
	r, err := Receive[reply[A]](s)
	if err != nil {
		s.Abort()
		return zero, errors.Wrap(ErrBroken, err.Error())
	}
	if r.Error != nil {
		return zero, r.Error
	}
	return r.Answer, nil
}

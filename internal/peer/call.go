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

// An Operation names an exchange.
type Operation string

// opening is the first message of every stream.
type opening struct {
	Version   int       `cbor:"1,keyasint"`
	Operation Operation `cbor:"2,keyasint"`
}

// openingVersion is the version of the opening this process writes.
const openingVersion = 1

// receiveOpening bounds how long a peer may take to name its operation.
const receiveOpening = 5 * time.Second

// A RemoteError is an error that the other side answered with.
type RemoteError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Error returns the other side's message.
func (r *RemoteError) Error() string {
	return r.Message
}

// A Coded error keeps its identity between processes.
type coded struct {
	code string
	err  error
}

var (
	codesMu sync.RWMutex
	codes   []coded
)

// RegisterErrorCode makes err travel under code: a handler's error that is err arrives at
// the caller as an error that is err.
func RegisterErrorCode(code string, err error) error {
	codesMu.Lock()
	defer codesMu.Unlock()
	codes = append(codes, coded{code: code, err: err})
	return err
}

func remoteOf(err error) *RemoteError {
	codesMu.RLock()
	defer codesMu.RUnlock()
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return &RemoteError{Code: c.code, Message: err.Error()}
		}
	}
	return &RemoteError{Message: err.Error()}
}

// Is reports whether the code of r is that of target.
func (r *RemoteError) Is(target error) bool {
	codesMu.RLock()
	defer codesMu.RUnlock()
	for _, c := range codes {
		if c.code == r.Code && c.err == target {
			return true
		}
	}
	return false
}

// A reply is the answer to a call.
type reply[A any] struct {
	Error  *RemoteError `cbor:"1,keyasint,omitempty"`
	Answer A            `cbor:"2,keyasint"`
}

// A StreamHandler serves one exchange; the stream is closed when it returns.
type StreamHandler func(ctx context.Context, s *Stream) error

// Handlers are the operations that a node serves.
type Handlers struct {
	mu sync.RWMutex
	by map[Operation]StreamHandler
}

// Register adds the handler of an operation.
func (h *Handlers) Register(o Operation, f StreamHandler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.by == nil {
		h.by = make(map[Operation]StreamHandler)
	}
	h.by[o] = f
}

// Handle adds f as the handler of calls of an operation.
func Handle[Q, A any](h *Handlers, o Operation, f func(context.Context, Q) (A, error)) {
	h.Register(o, func(ctx context.Context, s *Stream) error {
		q, err := Receive[Q](s)
		if err != nil {
			return err
		}
		var r reply[A]
		r.Answer, err = f(ctx, q)
		if err != nil {
			r.Error = remoteOf(err)
		}
		return Send(s, r)
	})
}

func (h *Handlers) serve(ctx context.Context, s *Stream, l *log.Logger) {
	if err := h.dispatch(ctx, s); err != nil {
		l.Debug().Str("event", "exchangeFailed").Err(err).Msg("")
		s.Abort()
		return
	}
	_ = s.CloseWrite()
	s.stopReading()
}

func (h *Handlers) dispatch(ctx context.Context, s *Stream) error {
	_ = s.SetDeadline(time.Now().Add(receiveOpening))
	o, err := Receive[opening](s)
	if err != nil {
		return err
	}
	_ = s.SetDeadline(time.Time{})
	h.mu.RLock()
	f := h.by[o.Operation]
	h.mu.RUnlock()
	if f == nil {
		return errors.Errorf("peer: unknown operation %q", o.Operation)
	}
	return f(ctx, s)
}

// OpenStream starts an exchange, which the caller ends by Abort, also after it has
// the whole answer. Its error is ErrNotSent: nothing reached the handler.
func (n *Node) OpenStream(ctx context.Context, to netip.AddrPort, o Operation) (*Stream, error) {
	w, err := n.connected(ctx, to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	q, err := w.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	w.step(liveness.Sent)
	s := &Stream{s: q, watch: w}
	if err := Send(s, opening{Version: openingVersion, Operation: o}); err != nil {
		s.Abort()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return s, nil
}

// Call makes one call. Errors are ErrNotSent (proved), ErrBroken (it may have
// had its effect) or what the handler answered.
func Call[Q, A any](ctx context.Context, n *Node, to netip.AddrPort, o Operation, q Q) (A, error) {
	var zero A
	s, err := n.OpenStream(ctx, to, o)
	if err != nil {
		return zero, err
	}
	defer s.finish()
	defer s.stopReading()
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

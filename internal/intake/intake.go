package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// A Reason is the limit that a client reached, as named in logs and metrics.
type Reason string

// The limits.
const (
	ReasonConnections   Reason = "connections"
	ReasonHeaderBytes   Reason = "headerBytes"
	ReasonBodyBytes     Reason = "bodyBytes"
	ReasonBodyTooLarge  Reason = "bodyTooLarge"
	ReasonBodyTimeout   Reason = "bodyTimeout"
	ReasonChunkOverhead Reason = "chunkOverhead"
	ReasonWork          Reason = "work"
	ReasonSlowReader    Reason = "slowReader"
	ReasonPipelined     Reason = "pipelined"
	// ReasonLinks is the number of connections between processes, ReasonStrangers the number of
	// those that have not opened a session.
	ReasonLinks     Reason = "links"
	ReasonStrangers Reason = "strangers"
	// ReasonFrameBytes is the number of bytes of incomplete frames between processes.
	ReasonFrameBytes Reason = "frameBytes"
)

const (
	// bodyTimeout bounds the arrival of a body. Callers wait up to 3 s for an answer.
	bodyTimeout = 10 * time.Second
	// socketBufferBytes is the size of the receive and send buffers of a connection. Bytes that are
	// received and not yet read count as memory of the process. A body of 262,144 bytes takes
	// about eight round trips.
	socketBufferBytes = 32 << 10
	// ConnBytes is the memory of a connection: the buffer of the socket, that of the HTTP server and the stacks of its goroutines.
	ConnBytes = socketBufferBytes + 32<<10
	// freeOverhead is how much a body may exceed twice its size on the wire. Chunks of at least
	// eight bytes never reach it.
	freeOverhead = 64 << 10
)

// An Intake holds the limits that the listeners of a process share.
type Intake struct {
	budget *Budget
	// work bounds the memory of requests that are decoded and answered.
	work      *semaphore.Weighted
	workBytes int64
	onLimit   func(Reason)
}

// New returns an intake that holds up to requestBytes of requests and works on requests with
// up to workBytes. It calls onLimit each time a client reaches a limit.
func New(requestBytes, workBytes int64, onLimit func(Reason)) *Intake {
	return &Intake{budget: NewBudget(requestBytes), work: semaphore.NewWeighted(workBytes), workBytes: workBytes, onLimit: onLimit}
}

func (i *Intake) report(r Reason) {
	if i.onLimit != nil {
		i.onLimit(r)
	}
}

// Listen listens at a for up to maxConns connections, and sets s up for them. The bound may change.
func (i *Intake) Listen(ctx context.Context, a netip.AddrPort, s *http.Server, maxConns func() int) (net.Listener, error) {
	if i == nil {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
		return l, errors.Wrap(err, "intake: listen")
	}
	l, err := (&net.ListenConfig{Control: limitBuffers}).Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, errors.Wrap(err, "intake: listen")
	}
	return i.Limit(l, s, maxConns), nil
}

// Limit bounds the connections of a listener and sets s up for them.
func (i *Intake) Limit(l net.Listener, s *http.Server, maxConns func() int) *Listener {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(n net.Conn, state http.ConnState) {
		c, ok := n.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			c.releaseHeader()
			c.arrived.Store(0)
			c.inHeader.Store(true)
			c.setPhase(&c.listener.idle)
		case http.StateActive:
			c.setPhase(&c.listener.incomplete)
		case http.StateClosed:
			c.releaseHeader()
		}
	}
	// The server would answer OPTIONS requests for "*" beside the handler below.
	s.DisableGeneralOptionsHandler = true
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if c.countPipelined() {
			i.report(ReasonPipelined)
			w.Header().Set("Connection", "close")
		}
		c.headerDone(len(r.Header))
		if r.ContentLength == 0 {
			c.setPhase(nil)
		} else {
			c.setPhase(&c.listener.incomplete)
			// Until ReadBody has read it, the rest of the body is not worth draining.
			w.Header().Set("Connection", "close")
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		h.ServeHTTP(w, r)
	})
	return &Listener{Listener: l, WriteTimeout: defaultWriteTimeout, intake: i, maxConns: maxConns}
}

// limitBuffers sets the buffers of a listening socket, whose connections inherit them.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, socketBufferBytes); err != nil {
				failed = err
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

type connKey struct{}

// A Body is the body of a request, which counts in the budget until Release.
type Body struct {
	Bytes       []byte
	reservation *Reservation
}

// Release gives the memory of the body back.
func (b *Body) Release() {
	b.Bytes = nil
	b.reservation.Release()
}

// ReadBody reads the body of a request, at most limit bytes. After an error the connection is
// closed with the response. Without an error the caller has to release the body once the
// request is answered.
func (i *Intake) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if i == nil {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, ErrTooLarge
		} else if err != nil {
			return nil, bodyError(err)
		}
		return &Body{Bytes: b, reservation: &Reservation{}}, nil
	}
	b, err := i.readBody(w, r, limit)
	if err != nil {
		b.Release()
		if reason, ok := reasonOf(err); ok {
			i.report(reason)
		}
		return nil, err
	}
	return b, nil
}

func (i *Intake) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	interrupt := func() {}
	var check func(int64) error
	if c != nil {
		interrupt = func() { _ = c.SetReadDeadline(time.Now()) }
		check = func(read int64) error {
			if c.arrived.Load() > 2*read+freeOverhead {
				return ErrOverhead
			}
			return nil
		}
	}
	b := &Body{reservation: i.budget.Open(interrupt)}
	var err error
	b.Bytes, err = ReadAll(r.Body, r.ContentLength, limit, b.reservation, check)
	// An evicted body fails with a timeout.
	if evicted := b.reservation.Complete(); evicted != nil {
		return b, evicted
	}
	if err != nil || c == nil {
		return b, err
	}
	if !c.closing {
		w.Header().Del("Connection")
	}
	c.setPhase(nil)
	// An error means that the connection is closed, which the response shows.
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// reasonOf returns the limit behind an error of ReadBody; false if the client closed the connection.
func reasonOf(err error) (Reason, bool) {
	switch {
	case errors.Is(err, ErrTooLarge):
		return ReasonBodyTooLarge, true
	case errors.Is(err, ErrOverhead):
		return ReasonChunkOverhead, true
	case errors.Is(err, ErrBusy):
		return ReasonBodyBytes, true
	case errors.Is(err, ErrTimeout):
		return ReasonBodyTimeout, true
	}
	return "", false
}

// Work waits until a request may use about n bytes to be decoded and answered, and returns a
// function that ends that. It returns ErrBusy if ctx ends first. A request that needs more than
// there is works alone.
func (i *Intake) Work(ctx context.Context, n int64) (done func(), err error) {
	if i == nil {
		return func() {}, nil
	}
	n = min(n, i.workBytes)
	// Acquire fails at once if ctx has ended, also where there is no need to wait.
	if i.work.TryAcquire(n) {
		return func() { i.work.Release(n) }, nil
	}
	if err := i.work.Acquire(ctx, n); err != nil {
		i.report(ReasonWork)
		return nil, errors.Wrap(ErrBusy, err.Error())
	}
	return func() { i.work.Release(n) }, nil
}

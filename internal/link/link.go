// Package link carries messages between nodes over TCP. A message is a
// length-prefixed frame with a CBOR body. Frames are delivered in order and
// aren't acknowledged by the transport.
package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/internal/intake"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// Errors returned by Conn.Read.
var (
	ErrClosed   = errors.New("link: closed")
	ErrTooLarge = errors.New("link: frame too large")
	// ErrBusy is returned if the bytes of a frame are needed for those of other links.
	ErrBusy = errors.New("link: too many bytes of frames are held")
)

const (
	// maxFrameSize bounds the body of a frame in bytes. A snapshot of 500 ends and 500 runs takes a twentieth of it.
	maxFrameSize = 2 << 20
	// maxFirstFrameSize bounds the first frame of a connection that was accepted, which is a hello
	// of a few hundred bytes if the peer is a process of the system.
	maxFirstFrameSize = 32 << 10
	// firstFrameTimeout bounds the wait for that frame, which is sent as the connection opens.
	firstFrameTimeout = 3 * time.Second
	// initialFrameBytes is the initial size of a frame's buffer, which grows as the bytes arrive.
	initialFrameBytes = 4 << 10
	// maxQueuedMessages is the number of unsent messages at which the link is closed because its reader is too slow.
	maxQueuedMessages = 4096
	// maxQueuedRecordBytes is the size of the queued records of jobs from which further notices of
	// accepted jobs are left out. The scheduler reads these jobs from the store, a little later.
	maxQueuedRecordBytes = 8 << 20
	// SessionTimeout is the time without a message after which either side ends the session.
	SessionTimeout = succession.ContactTimeout
	// writeTimeout bounds a write to a peer that doesn't read. It's above
	// SessionTimeout, so that an unresponsive peer's session times out first.
	writeTimeout = 3 * time.Second
)

// A Conn is one end of a link.
type Conn struct {
	conn net.Conn
	// accepted is set on the side that accepted the connection, from a peer that may be a stranger.
	accepted bool
	// frames bounds the bytes of received frames, together with those of other links; nil is no bound.
	frames    *intake.Budget
	closeOnce sync.Once
	done      chan struct{}

	mu sync.Mutex
	// queue holds the messages that the writer hasn't taken yet; memory is allocated only for queued messages.
	queue []Message
	// queuedRecordBytes is the size of the records of accepted jobs in queue.
	queuedRecordBytes int
	// wake signals the writer that messages are queued.
	wake chan struct{}
}

// New returns a Conn over c and starts its writer.
func New(c net.Conn) *Conn {
	l := &Conn{conn: c, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go l.write()
	return l
}

// Accept is New for a connection that a peer has opened. Its first frame is bounded in size and time.
func Accept(c net.Conn) *Conn {
	l := New(c)
	l.accepted = true
	return l
}

// BoundFrames makes received frames use the bytes of b, from which the oldest incomplete frames
// are evicted with their links. It must be called before Read.
func (l *Conn) BoundFrames(b *intake.Budget) { l.frames = b }

// Send queues m for sending. It closes the link if the queue is full.
func (l *Conn) Send(m Message) {
	l.mu.Lock()
	if m.JobAccepted != nil {
		if l.queuedRecordBytes+len(m.JobAccepted.Value) > maxQueuedRecordBytes {
			l.mu.Unlock()
			return
		}
		l.queuedRecordBytes += len(m.JobAccepted.Value)
	}
	full := len(l.queue) >= maxQueuedMessages
	if !full {
		l.queue = append(l.queue, m)
	}
	l.mu.Unlock()
	if full {
		l.Close()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeQueue removes and returns all queued messages.
func (l *Conn) takeQueue() []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := l.queue
	l.queue, l.queuedRecordBytes = nil, 0
	return ms
}

// Close closes the link; queued messages are dropped.
func (l *Conn) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// Done returns a channel that is closed when the link is closed.
func (l *Conn) Done() <-chan struct{} { return l.done }

// RemoteAddr returns the address of the peer.
func (l *Conn) RemoteAddr() string { return l.conn.RemoteAddr().String() }

// Read calls f for each received message until the link is closed or a frame is invalid.
func (l *Conn) Read(f func(Message)) error {
	defer l.Close()
	r := bufio.NewReaderSize(l.conn, 8<<10)
	var head [4]byte
	limit := uint32(maxFrameSize)
	if l.accepted {
		limit = maxFirstFrameSize
		// An error shows up in the read.
		_ = l.conn.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	}
	for first := true; ; first = false {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return errors.Wrap(ErrClosed, err.Error())
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > limit {
			return ErrTooLarge
		}
		held := l.holdFrame(int(n))
		b, err := readFrame(r, int(n), held)
		if err != nil {
			held.Release()
			if errors.Is(err, intake.ErrBusy) {
				return ErrBusy
			}
			return errors.Wrap(ErrClosed, err.Error())
		}
		if first && l.accepted {
			limit = maxFrameSize
			_ = l.conn.SetReadDeadline(time.Time{})
		}
		m, err := codec.Decode[Message](b)
		held.Release()
		if err != nil {
			return err
		}
		f(m)
	}
}

// holdFrame returns the reservation for a frame of n bytes. It's empty for small ones, which are
// bounded by the number of links.
func (l *Conn) holdFrame(n int) *intake.Reservation {
	b := l.frames
	if n <= initialFrameBytes {
		b = nil
	}
	// An error shows up in the read.
	return b.Open(func() { _ = l.conn.SetReadDeadline(time.Now()) })
}

// readFrame reads n bytes into a buffer that grows as they arrive, so that a length that is
// announced takes no memory. What it holds beyond initialFrameBytes is reserved in held.
func readFrame(r io.Reader, n int, held *intake.Reservation) ([]byte, error) {
	b := make([]byte, min(n, initialFrameBytes))
	read := 0
	for {
		k, err := io.ReadFull(r, b[read:])
		read += k
		switch {
		case err != nil:
			// A link that was closed for its frame fails with an error of the connection.
			if evicted := held.Complete(); evicted != nil {
				err = evicted
			}
			return nil, err
		case read == n:
			return b, held.Complete()
		}
		size := min(2*len(b), n)
		if err := held.Reserve(int64(size)); err != nil {
			return nil, err
		}
		old := int64(len(b))
		b = append(make([]byte, 0, size), b...)
		b = b[:cap(b)]
		held.Shrink(old)
	}
}

// write sends the queued messages until the link is closed. Messages that are
// queued together share one write.
func (l *Conn) write() {
	defer l.Close()
	w := bufio.NewWriterSize(l.conn, 8<<10)
	for {
		select {
		case <-l.wake:
		case <-l.done:
			return
		}
		for ms := l.takeQueue(); len(ms) > 0; ms = l.takeQueue() {
			for _, m := range ms {
				if !l.writeFrame(w, m) {
					return
				}
			}
		}
		// Setting the deadline fails only on a closed connection, where the write fails too.
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if w.Flush() != nil {
			return
		}
	}
}

// writeFrame encodes m into w, and reports whether that succeeded.
func (l *Conn) writeFrame(w *bufio.Writer, m Message) bool {
	b, err := codec.Encode(m)
	if err != nil || len(b) > maxFrameSize {
		return false
	}
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(b)))
	// As in write, an error of SetWriteDeadline shows up in the write.
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(head[:]); err != nil {
		return false
	}
	_, err = w.Write(b)
	return err == nil
}

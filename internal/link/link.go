// Package link carries messages between the system's nodes over TCP: frames
// of a length and a CBOR body, in order, without a reply of their own.
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
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// The errors of a link.
var (
	ErrClosed   = errors.New("link: closed")
	ErrTooLarge = errors.New("link: frame too large")
)

const (
	// maxFrame bounds a frame in bytes; a snapshot of 500 ends and 500 runs has a twentieth of it.
	maxFrame = 2 << 20
	// queueLength is how many messages may wait for a slow reader before the link is closed.
	queueLength = 4096
	// SessionTimeout ends a session by silence on either side.
	SessionTimeout = succession.Silence
	// writeTimeout closes a link whose reader takes nothing; it's above the time in which a session ends by silence.
	writeTimeout = 3 * time.Second
)

// A Conn is one link.
type Conn struct {
	c     net.Conn
	once  sync.Once
	ended chan struct{}

	mu sync.Mutex
	// out waits for the writer; it grows only with what waits.
	out []Message
	// wake tells the writer of new messages.
	wake chan struct{}
}

// New wraps a connection and starts to write to it.
func New(c net.Conn) *Conn {
	l := &Conn{c: c, ended: make(chan struct{}), wake: make(chan struct{}, 1)}
	go l.write()
	return l
}

// Send queues m; a link that can't keep up is closed.
func (l *Conn) Send(m Message) {
	l.mu.Lock()
	full := len(l.out) >= queueLength
	if !full {
		l.out = append(l.out, m)
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

// waiting takes all messages that wait.
func (l *Conn) waiting() []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := l.out
	l.out = nil
	return ms
}

// Close ends the link.
func (l *Conn) Close() {
	l.once.Do(func() {
		close(l.ended)
		_ = l.c.Close()
	})
}

// Done is closed when the link is.
func (l *Conn) Done() <-chan struct{} { return l.ended }

// RemoteAddr returns the other side's address.
func (l *Conn) RemoteAddr() string { return l.c.RemoteAddr().String() }

// Read calls f for each message until the link ends.
func (l *Conn) Read(f func(Message)) error {
	defer l.Close()
	r := bufio.NewReaderSize(l.c, 8<<10)
	var head [4]byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return errors.Wrap(ErrClosed, err.Error())
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxFrame {
			return ErrTooLarge
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(r, b); err != nil {
			return errors.Wrap(ErrClosed, err.Error())
		}
		m, err := codec.Decode[Message](b)
		if err != nil {
			return err
		}
		f(m)
	}
}

// write sends what is queued, many messages in one write where they wait together.
func (l *Conn) write() {
	defer l.Close()
	w := bufio.NewWriterSize(l.c, 8<<10)
	for {
		select {
		case <-l.wake:
		case <-l.ended:
			return
		}
		for ms := l.waiting(); len(ms) > 0; ms = l.waiting() {
			for _, m := range ms {
				if !l.put(w, m) {
					return
				}
			}
		}
		// A connection that takes no deadline is closed already, and the write fails.
		_ = l.c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if w.Flush() != nil {
			return
		}
	}
}

func (l *Conn) put(w *bufio.Writer, m Message) bool {
	b, err := codec.Encode(m)
	if err != nil || len(b) > maxFrame {
		return false
	}
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(b)))
	// As in write, a deadline that isn't taken shows in the write.
	_ = l.c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(head[:]); err != nil {
		return false
	}
	_, err = w.Write(b)
	return err == nil
}

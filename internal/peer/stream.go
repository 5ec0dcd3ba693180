package peer

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/decide/liveness"
)

// A Stream carries one exchange between two processes: messages and bodies.
type Stream struct {
	s    *quic.Stream
	body *bodyWriter
	// watch hears of the end of an exchange that was opened here.
	watch *watch
	ended sync.Once
}

// errorAborted is the code of a stream that one side gave up.
const errorAborted quic.StreamErrorCode = 1

// IsReadCancelled reports whether err, of sending, says that the other side reads no
// more. Its answer may have come all the same.
func IsReadCancelled(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote
}

// Send writes v as one message.
func Send[T any](s *Stream, v T) error {
	b, err := codec.Encode(v)
	if err != nil {
		return err
	}
	return errors.Wrap(writeFrame(s.s, frameMessage, b), "peer: send")
}

// Receive reads one message.
func Receive[T any](s *Stream) (T, error) {
	var zero T
	t, b, err := readFrame(s.s)
	if err != nil {
		return zero, errors.Wrap(err, "peer: receive")
	}
	if t != frameMessage {
		return zero, errors.Wrap(ErrBadFrame, "not a message")
	}
	return codec.Decode[T](b)
}

// Write sends a part of the body.
func (s *Stream) Write(p []byte) (int, error) {
	if s.body == nil {
		s.body = &bodyWriter{w: s.s}
	}
	return s.body.Write(p)
}

// EndBody announces that the body is whole.
func (s *Stream) EndBody() error {
	if s.body == nil {
		s.body = &bodyWriter{w: s.s}
	}
	err := s.body.end()
	s.body = nil
	return err
}

// Body returns the body that the other side sends; it ends in io.EOF only
// when the other side announced its end, else in ErrCut.
func (s *Stream) Body() io.Reader {
	return &bodyReader{r: s.s}
}

// CloseWrite tells the other side that nothing more comes.
func (s *Stream) CloseWrite() error {
	return s.s.Close()
}

// stopReading gives up what was not read. A stream that is not read to its end
// counts as open for as long as its connection lives.
func (s *Stream) stopReading() {
	s.s.CancelRead(errorAborted)
}

// finish tells the watch that nothing more is waited for.
func (s *Stream) finish() {
	if s.watch != nil {
		s.ended.Do(func() { s.watch.step(liveness.Ended) })
	}
}

// Abort gives the exchange up in both directions.
func (s *Stream) Abort() {
	s.finish()
	s.stopReading()
	s.s.CancelWrite(errorAborted)
}

// SetDeadline bounds reads and writes.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.s.SetDeadline(t)
}

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
	s          *quic.Stream
	bodyWriter *bodyWriter
	// watcher is notified when the exchange ends; nil for an exchange that the peer opened.
	watcher *connWatcher
	endOnce sync.Once
}

// streamErrorAborted is the error code of a stream that one side aborted.
const streamErrorAborted quic.StreamErrorCode = 1

// IsReadCancelled reports whether a send error err means that the peer has stopped reading.
// The peer may have sent its answer all the same.
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

// Receive reads one message, which must decode as a T.
func Receive[T any](s *Stream) (T, error) {
	var zero T
	t, b, err := readFrame(s.s)
	if err != nil {
		return zero, errors.Wrap(err, "peer: receive")
	}
	if t != frameMessage {
		return zero, errors.Wrap(ErrBadFrame, "not a message frame")
	}
	return codec.Decode[T](b)
}

// Write sends a part of the body.
func (s *Stream) Write(p []byte) (int, error) {
	if s.bodyWriter == nil {
		s.bodyWriter = &bodyWriter{w: s.s}
	}
	return s.bodyWriter.Write(p)
}

// EndBody tells the reader that the body is complete.
func (s *Stream) EndBody() error {
	if s.bodyWriter == nil {
		s.bodyWriter = &bodyWriter{w: s.s}
	}
	err := s.bodyWriter.writeEnd()
	s.bodyWriter = nil
	return err
}

// Body returns a reader of the body that the peer sends. It ends with io.EOF only if the peer
// marked the body as complete, and with ErrTruncated otherwise.
func (s *Stream) Body() io.Reader {
	return &bodyReader{r: s.s}
}

// CloseWrite tells the peer that nothing more will be sent.
func (s *Stream) CloseWrite() error {
	return s.s.Close()
}

// cancelRead discards what has not been read. Otherwise a stream that is not read to its end
// counts as open until its connection ends.
func (s *Stream) cancelRead() {
	s.s.CancelRead(streamErrorAborted)
}

// reportEnded notifies the watcher, once, that the exchange waits for nothing more.
func (s *Stream) reportEnded() {
	if s.watcher != nil {
		s.endOnce.Do(func() { s.watcher.step(liveness.Ended) })
	}
}

// Abort ends the exchange and cancels both directions of the stream.
func (s *Stream) Abort() {
	s.reportEnded()
	s.cancelRead()
	s.s.CancelWrite(streamErrorAborted)
}

// SetDeadline sets the time after which reads and writes fail.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.s.SetDeadline(t)
}

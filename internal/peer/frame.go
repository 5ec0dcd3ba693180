package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// A frameType is the type of a frame. A frame consists of the length of its payload in four
// bytes, its type in one byte and the payload.
type frameType byte

// The types of frames.
const (
	// frameMessage holds one message encoded by package codec.
	frameMessage frameType = 1
	// frameBody holds a part of a body.
	frameBody frameType = 2
	// frameEnd ends a body and holds the length of the whole body in eight bytes.
	frameEnd frameType = 3
)

// The sizes of frames, in bytes.
const (
	frameHeaderBytes = 5
	maxPayloadBytes  = 1 << 20
	bodyFrameBytes   = 32 << 10
	frameEndBytes    = 8
)

// ErrBadFrame is returned for a frame that is too large or not of the expected type.
var ErrBadFrame = errors.New("peer: bad frame")

// ErrTruncated is returned if a body stops before its end frame, or if its length is not
// the one in the end frame.
var ErrTruncated = errors.New("peer: body was truncated")

func writeFrame(w io.Writer, t frameType, payload []byte) error {
	if len(payload) > maxPayloadBytes {
		return errors.Wrap(ErrBadFrame, "too large")
	}
	b := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	b[4] = byte(t)
	_, err := w.Write(append(b, payload...))
	return err
}

// readFrame reads one frame. Memory is allocated as the payload arrives rather than by the
// length in the header, which may be false.
func readFrame(r io.Reader) (frameType, []byte, error) {
	var h [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n > maxPayloadBytes {
		return 0, nil, errors.Wrap(ErrBadFrame, "too large")
	}
	payload, err := readPayload(r, int(n))
	if err != nil {
		return 0, nil, err
	}
	return frameType(h[4]), payload, nil
}

// readPayload reads n bytes; it allocates at most bodyFrameBytes before any have arrived.
func readPayload(r io.Reader, n int) ([]byte, error) {
	payload := make([]byte, min(n, bodyFrameBytes))
	if _, err := io.ReadFull(r, payload); err != nil || len(payload) == n {
		return payload, err
	}
	rest, err := io.ReadAll(io.LimitReader(r, int64(n-len(payload))))
	payload = append(payload, rest...)
	if err == nil && len(payload) < n {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}

// A bodyReader reads a body from its frames.
type bodyReader struct {
	r io.Reader
	// unread is the rest of the last frame's payload.
	unread []byte
	// received is the length of all payloads so far.
	received uint64
	err      error
}

// Read returns io.EOF only after a matching end frame, and ErrTruncated if the body ends in
// any other way.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		b.readPart()
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// readPart reads the next frame of the body.
func (b *bodyReader) readPart() {
	t, payload, err := readFrame(b.r)
	switch {
	case err != nil:
		b.err = errors.Wrap(ErrTruncated, err.Error())
	case t == frameBody:
		b.unread = payload
		b.received += uint64(len(payload))
	case t == frameEnd && len(payload) == frameEndBytes && binary.BigEndian.Uint64(payload) == b.received:
		b.err = io.EOF
	default:
		b.err = errors.Wrap(ErrTruncated, "unexpected frame or wrong length")
	}
}

// A bodyWriter writes a body as frames.
type bodyWriter struct {
	w       io.Writer
	written uint64
}

// Write sends p in frames of at most bodyFrameBytes.
func (b *bodyWriter) Write(p []byte) (int, error) {
	sent := 0
	for len(p) > 0 {
		n := min(len(p), bodyFrameBytes)
		if err := writeFrame(b.w, frameBody, p[:n]); err != nil {
			return sent, err
		}
		b.written += uint64(n)
		sent += n
		p = p[n:]
	}
	return sent, nil
}

// writeEnd sends the end frame, which tells the reader that the body is complete.
func (b *bodyWriter) writeEnd() error {
	var n [frameEndBytes]byte
	binary.BigEndian.PutUint64(n[:], b.written)
	return writeFrame(b.w, frameEnd, n[:])
}

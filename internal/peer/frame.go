package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// A frame is a length of four bytes, a type of one byte and the payload.
type frameType byte

// The types of frames.
const (
	// frameMessage holds one message of the codec.
	frameMessage frameType = 1
	// frameBody holds a part of a body.
	frameBody frameType = 2
	// frameEnd ends a body and holds its length in eight bytes.
	frameEnd frameType = 3
)

// The bounds of frames, in bytes.
const (
	frameHeader    = 5
	maxFrame       = 1 << 20
	bodyFrameBytes = 32 << 10
	endBytes       = 8
)

// ErrBadFrame is returned for bytes that are not a frame of the expected type.
var ErrBadFrame = errors.New("peer: bad frame")

// ErrTruncated is returned where a body stops before its end was announced, or
// where its length is not the announced one.
var ErrTruncated = errors.New("peer: body was cut")

func writeFrame(w io.Writer, t frameType, payload []byte) error {
	if len(payload) > maxFrame {
		return errors.Wrap(ErrBadFrame, "too large")
	}
	b := make([]byte, frameHeader, frameHeader+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	b[4] = byte(t)
	_, err := w.Write(append(b, payload...))
	return err
}

// readFrame reads one frame; memory is spent only as the payload comes in.
func readFrame(r io.Reader) (frameType, []byte, error) {
	var h [frameHeader]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n > maxFrame {
		return 0, nil, errors.Wrap(ErrBadFrame, "too large")
	}
	payload, err := readPayload(r, int(n))
	if err != nil {
		return 0, nil, err
	}
	return frameType(h[4]), payload, nil
}

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

// A bodyReader reads the parts of a body up to its end.
type bodyReader struct {
	r    io.Reader
	part []byte
	read uint64
	err  error
}

// Read returns io.EOF only after the announced end, ErrCut at any other.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.part) == 0 && b.err == nil {
		b.next()
	}
	if len(b.part) == 0 {
		return 0, b.err
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

func (b *bodyReader) next() {
	t, payload, err := readFrame(b.r)
	switch {
	case err != nil:
		b.err = errors.Wrap(ErrTruncated, err.Error())
	case t == frameBody:
		b.part = payload
		b.read += uint64(len(payload))
	case t == frameEnd && len(payload) == endBytes && binary.BigEndian.Uint64(payload) == b.read:
		b.err = io.EOF
	default:
		b.err = errors.Wrap(ErrTruncated, "bad end")
	}
}

// A bodyWriter writes parts of a body.
type bodyWriter struct {
	w       io.Writer
	written uint64
}

// Write sends p as one part or more.
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

// end announces that the body is whole.
func (b *bodyWriter) end() error {
	var n [endBytes]byte
	binary.BigEndian.PutUint64(n[:], b.written)
	return writeFrame(b.w, frameEnd, n[:])
}

package peer

import (
	"bytes"
	"flag"
	"io"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
}

// splitFrames returns the encoded frames of a stream.
func splitFrames(b []byte) (frames [][]byte) {
	r := bytes.NewReader(b)
	for at := 0; r.Len() > 0; at = len(b) - r.Len() {
		if _, _, err := readFrame(r); err != nil {
			panic(err)
		}
		frames = append(frames, b[at:len(b)-r.Len()])
	}
	return frames
}

// TestIncompleteBodyIsAnError guards against a damaged body that is taken for a complete one:
// it drops, repeats or truncates a frame and checks that only the original body is read
// without an error.
func TestIncompleteBodyIsAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		w := &bodyWriter{w: &stream}
		var sent []byte
		for i := range rapid.IntRange(0, 5).Draw(t, "parts") {
			p := bytes.Repeat([]byte{byte('a' + i)}, rapid.IntRange(1, 3*bodyFrameBytes).Draw(t, "size"))
			sent = append(sent, p...)
			if _, err := w.Write(p); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.writeEnd(); err != nil {
			t.Fatal(err)
		}
		frames := splitFrames(stream.Bytes())
		i := rapid.IntRange(0, len(frames)-1).Draw(t, "frame")
		switch rapid.SampledFrom([]string{"none", "drop", "repeat", "cut"}).Draw(t, "fault") {
		case "drop":
			frames = append(frames[:i:i], frames[i+1:]...)
		case "repeat":
			frames = append(frames[:i+1:i+1], frames[i:]...)
		case "cut":
			at := rapid.IntRange(0, len(frames[i])-1).Draw(t, "at")
			frames = append(frames[:i:i], frames[i][:at])
		}
		got, err := io.ReadAll(&bodyReader{r: bytes.NewReader(bytes.Join(frames, nil))})
		if err == nil && !bytes.Equal(got, sent) {
			t.Fatalf("a damaged body was read without an error: %d of %d bytes", len(got), len(sent))
		}
	})
}

// FuzzFrames reads arbitrary bytes as a body.
func FuzzFrames(f *testing.F) {
	var whole bytes.Buffer
	w := &bodyWriter{w: &whole}
	_, _ = w.Write([]byte("wind"))
	_ = w.writeEnd()
	f.Add(whole.Bytes())
	f.Add([]byte{0, 16, 0, 0, 2, 'a'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		g := gomega.NewWithT(t)
		body, err := io.ReadAll(&bodyReader{r: bytes.NewReader(b)})
		g.Expect(len(body)).To(gomega.BeNumerically("<=", len(b)))
		if err != nil {
			g.Expect(err).To(gomega.MatchError(ErrTruncated))
			return
		}
		// A complete body must read the same after it is written again.
		var again bytes.Buffer
		w := &bodyWriter{w: &again}
		_, _ = w.Write(body)
		_ = w.writeEnd()
		second, err := io.ReadAll(&bodyReader{r: &again})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second).To(gomega.Equal(body))
	})
}

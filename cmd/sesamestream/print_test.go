package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var errNoSpace = errors.New("no space left")

// fullWriter fails every write, like a full disk.
type fullWriter struct{}

func (fullWriter) Write([]byte) (int, error) { return 0, errNoSpace }

func TestColumnsAlignAndKeepTheFirstError(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	w := newColumnPrinter(&b)
	w.printf("host\tfree\n")
	w.printf("%s\t%d\n", "mui-ne-1", 3)
	g.Expect(w.flush()).To(Succeed())
	g.Expect(b.String()).To(Equal("host      free\nmui-ne-1  3\n"))

	w = newColumnPrinter(fullWriter{})
	w.printf("host\tfree\n")
	g.Expect(w.flush()).To(MatchError(errNoSpace))
}

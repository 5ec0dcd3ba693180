package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var errFull = errors.New("no space left")

// full fails each write.
type full struct{}

func (full) Write([]byte) (int, error) { return 0, errFull }

func TestColumnsAlignAndKeepTheFirstError(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	w := newColumns(&b)
	w.printf("host\tfree\n")
	w.printf("%s\t%d\n", "mui-ne-1", 3)
	g.Expect(w.flush()).To(Succeed())
	g.Expect(b.String()).To(Equal("host      free\nmui-ne-1  3\n"))

	w = newColumns(full{})
	w.printf("host\tfree\n")
	g.Expect(w.flush()).To(MatchError(errFull))
}

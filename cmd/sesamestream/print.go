package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes lines and keeps the first error, so that output that was cut
// is told once, at its end.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, a ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, a...)
	}
}

// columns is a printer that aligns what tabs part.
type columns struct {
	printer
	tab *tabwriter.Writer
}

func newColumns(w io.Writer) *columns {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	return &columns{printer: printer{w: t}, tab: t}
}

// flush writes what is left and returns the first error.
func (c *columns) flush() error {
	if err := c.tab.Flush(); c.err == nil {
		c.err = err
	}
	return c.err
}

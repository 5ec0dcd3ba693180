package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes text and keeps the first error, so that truncated output is reported once, at the
// end.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, a ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, a...)
	}
}

// columnPrinter is a printer that aligns tab-separated cells in columns.
type columnPrinter struct {
	printer
	tab *tabwriter.Writer
}

func newColumnPrinter(w io.Writer) *columnPrinter {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	return &columnPrinter{printer: printer{w: t}, tab: t}
}

// flush writes the buffered output and returns the first error.
func (c *columnPrinter) flush() error {
	if err := c.tab.Flush(); c.err == nil {
		c.err = err
	}
	return c.err
}

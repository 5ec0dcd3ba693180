package main

import (
	"os"

	"github.com/phuslu/log"
)

// newLogger returns a logger that writes JSON lines to stderr, or a console format if stderr is a
// terminal.
func newLogger(level string) *log.Logger {
	l := &log.Logger{Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	if log.IsTerminal(os.Stderr.Fd()) {
		l.Writer = &log.ConsoleWriter{ColorOutput: true, Writer: os.Stderr}
		return l
	}
	l.Writer = &log.IOWriter{Writer: os.Stderr}
	return l
}

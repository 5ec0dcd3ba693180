// Command sesamestream-platform runs the scheduler's processes on the users' platform. It is a separate
// program, because the small hosts there must not load code that only the product's other interfaces
// need.
package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/platform"
)

// logFlushTimeout bounds how long the process waits at its end for a slow reader of its log.
const logFlushTimeout = 100 * time.Millisecond

// exitUsage is the exit code for invalid arguments and settings.
const exitUsage = 2

func main() { os.Exit(run()) }

func run() int {
	// An unhandled SIGHUP terminates the process, so it is caught before the settings are read.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f := flag.NewFlagSet("sesamestream-platform", flag.ContinueOnError)
	port := f.Uint("metrics", 0, "port on which the figures are served; 0 is none")
	check := f.Bool("check", false, "read the settings, say whether they hold, and end")
	// The first argument may name the role. It only serves readers of the process list; the settings
	// determine the role.
	args := os.Args[1:]
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		args = args[1:]
	}
	if err := f.Parse(args); err != nil || *port > math.MaxUint16 {
		return exitUsage
	}
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Printf("settings of %s hold\n", s.Node)
		return 0
	}
	l := eventlog.New(os.Stdout, s.Node)
	defer l.Close(logFlushTimeout)
	l.Event(eventlog.ProcessStarted).Str("dataCentre", s.DataCentre).Str("region", s.Region).Int("pid", os.Getpid()).Msg("")
	p := &platform.Process{Settings: s, Log: l, Reload: reload, MetricsPort: uint16(*port)}
	err = p.Run(ctx)
	l.Event(eventlog.ProcessStopped).Err(err).Msg("")
	if err != nil {
		return 1
	}
	return 0
}

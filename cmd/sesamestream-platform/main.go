// Command sesamestream-platform runs the scheduler's processes on the users'
// platform. It's a program of its own so that the small hosts there load
// nothing of what only the product's other interfaces need.
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

// logLimit is how long the end of the process waits for a slow reader of its log.
const logLimit = 100 * time.Millisecond

// exitUsage is the exit code for arguments and settings that don't hold.
const exitUsage = 2

func main() { os.Exit(run()) }

func run() int {
	// Until it's asked for, a signal ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f := flag.NewFlagSet("sesamestream-platform", flag.ContinueOnError)
	port := f.Uint("metrics", 0, "port on which the figures are served; 0 is none")
	check := f.Bool("check", false, "read the settings, say whether they hold, and end")
	// The role is for the reader of the process list; the settings say what the process serves.
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
	defer l.Close(logLimit)
	l.Event(eventlog.ProcessStarted).Str("dataCentre", s.DataCentre).Str("region", s.Region).Int("pid", os.Getpid()).Msg("")
	p := &platform.Process{Settings: s, Log: l, Reload: reload, MetricsPort: uint16(*port)}
	err = p.Run(ctx)
	l.Event(eventlog.ProcessStopped).Err(err).Msg("")
	if err != nil {
		return 1
	}
	return 0
}

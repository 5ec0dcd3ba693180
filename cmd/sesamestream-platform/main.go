// Command sesamestream-platform runs the scheduler's processes on the users'
// platform. It's a program of its own so that the small hosts there load
// nothing of what only the product's other interfaces need.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/platform"
)

// logLimit is how long the end of the process waits for a slow reader of its log.
const logLimit = 100 * time.Millisecond

func main() { os.Exit(run()) }

func run() int {
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l := eventlog.New(os.Stdout, s.Node)
	defer l.Close(logLimit)
	l.Event(eventlog.ProcessStarted).Str("dataCentre", s.DataCentre).Str("region", s.Region).Int("pid", os.Getpid()).Msg("")
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	p := &platform.Process{Settings: s, Log: l, Reload: reload}
	err = p.Run(ctx)
	l.Event(eventlog.ProcessStopped).Err(err).Msg("")
	if err != nil {
		return 1
	}
	return 0
}

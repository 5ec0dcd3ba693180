package local

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// serveTargetDelay is how long a target takes to answer.
const serveTargetDelay = 10 * time.Millisecond

// Serve runs a whole deployment until ctx ends and prints how to use it.
func Serve(ctx context.Context, out io.Writer, dir string, l *log.Logger) error {
	c := &Cluster{
		Kinds:       []fleet.Kind{kindGust, kindAlert, kindSession},
		TargetDelay: serveTargetDelay,
		Tasks:       settings.Tasks{Lease: 10 * time.Second, RideThrough: time.Hour, Shards: 2},
		Dir:         dir,
		Log:         l,
	}
	if err := c.Prepare(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.SetTable(ready, DemoTable()); err != nil {
		return err
	}
	c.printUsage(out)
	return <-ended
}

// printUsage prints the addresses of the deployment and example commands.
func (c *Cluster) printUsage(out io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	p("store    http://%s", c.Store.Address)
	for _, m := range append(append([]*Member{}, c.Entries...), c.Agents...) {
		p("%-16s callers %-22s operators %-22s peers %s", m.Settings.ID, callerAddress(m), m.Settings.Operator.Listen, m.Settings.Peer.Listen)
	}
	entry := c.Entries[0].Settings
	p("\ntry, from another terminal:")
	p("curl -i http://%s/gust/beach", entry.Caller.Listen)
	p("curl -i -H 'Idempotency-Key: certificate-1' -d wind http://%s/alert/beach", entry.Caller.Listen)
	p("curl --cacert %s/ca.pem -H \"Authorization: Bearer $(cat %s/token)\" --connect-to ::%s https://peer.sesamestream/v1/workers",
		c.Dir, c.Dir, entry.Operator.Listen)
	p("\nsesamestream job submit --at %s --keys %s --kind forecast --tasks 3 --command 2s first", entry.Operator.Listen, c.Dir)
	p("\ninterrupt to stop")
}

// callerAddress returns the address of the callers' port, or "-" for an agent, which has none.
func callerAddress(m *Member) string {
	if m.Settings.Role == fleet.RoleEntry {
		return m.Settings.Caller.Listen.String()
	}
	return "-"
}

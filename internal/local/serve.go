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

// serveDelay is how long a target takes for an answer.
const serveDelay = 10 * time.Millisecond

// Serve runs a whole deployment until ctx ends and tells how to try it.
func Serve(ctx context.Context, out io.Writer, dir string, l *log.Logger) error {
	c := &Cluster{
		Kinds:       []fleet.Kind{kindGust, kindAlert, kindSession},
		TargetDelay: serveDelay,
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
	c.tell(out)
	return <-ended
}

// tell prints the addresses and three calls that work.
func (c *Cluster) tell(out io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	p("store    http://%s", c.Store.Address)
	for _, m := range append(append([]*Member{}, c.Entries...), c.Agents...) {
		p("%-16s callers %-22s operators %-22s peers %s", m.Settings.ID, callers(m), m.Settings.Operator.Listen, m.Settings.Peer.Listen)
	}
	at := c.Entries[0].Settings
	p("\ntry, from another terminal:")
	p("curl -i http://%s/gust/beach", at.Caller.Listen)
	p("curl -i -H 'Idempotency-Key: certificate-1' -d wind http://%s/alert/beach", at.Caller.Listen)
	p("curl --cacert %s/ca.pem -H \"Authorization: Bearer $(cat %s/token)\" --connect-to ::%s https://peer.sesamestream/v1/workers",
		c.Dir, c.Dir, at.Operator.Listen)
	p("\nsesamestream job submit --at %s --keys %s --kind forecast --tasks 3 --command 2s first", at.Operator.Listen, c.Dir)
	p("\ninterrupt to stop")
}

func callers(m *Member) string {
	if m.Settings.Role == fleet.RoleEntry {
		return m.Settings.Caller.Listen.String()
	}
	return "-"
}

package hostagent_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A heartbeat that comes while the process ends begins nothing that the end
// doesn't wait for (seen: a data race in the fleet's test).
func TestHeartbeatWhileTheAgentEnds(t *testing.T) {
	l := eventlog.New(io.Discard, "n")
	defer l.Close(0)
	begin := time.Now()
	for n := range 200 {
		a := &hostagent.Agent{
			Log: l, MaxLease: time.Second, Steady: func() time.Duration { return time.Since(begin) },
			Send: func(link.Message) bool { return true },
			Dial: func(netip.AddrPort, batch.WorkerKey) hostagent.Worker { return &standin.Worker{} },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() {
			if err := a.Run(ctx); err != nil {
				t.Error(err)
			}
		})
		g.Go(func() {
			for b := range int64(50) {
				a.Report(hostagent.Report{Worker: batch.Worker{ID: "w", Born: int64(n)*100 + b, Address: "10.0.0.1:80"}})
			}
		})
		g.Go(cancel)
		g.Wait()
	}
}

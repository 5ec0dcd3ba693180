package hostagent_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A heartbeat that arrives during shutdown must not start background work that
// Run doesn't wait for. Such work causes a data race in the fleet test.
func TestHeartbeatDuringShutdown(t *testing.T) {
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
				a.Heartbeat(hostagent.Heartbeat{Worker: batch.Worker{ID: "w", StartTime: int64(n)*100 + b, Address: "10.0.0.1:80"}})
			}
		})
		g.Go(cancel)
		g.Wait()
	}
}

// Heartbeats under many names at many addresses must not make the agent poll each of them.
func TestWorkersOfAHostAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := eventlog.New(io.Discard, "n")
		var dialled atomic.Int64
		begin := time.Now()
		a := &hostagent.Agent{
			Log: l, MaxLease: time.Second, Steady: func() time.Duration { return time.Since(begin) },
			Send: func(link.Message) bool { return true },
			Dial: func(netip.AddrPort, batch.WorkerKey) hostagent.Worker { dialled.Add(1); return &standin.Worker{} },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() {
			if err := a.Run(ctx); err != nil {
				t.Error(err)
			}
		})
		synctest.Wait()
		report := func(id string, port uint16, seq int64) bool {
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port).String()
			return a.Heartbeat(hostagent.Heartbeat{Worker: batch.Worker{ID: id, StartTime: 1, Address: address}, Seq: seq})
		}
		for n := range uint16(200) {
			report(fmt.Sprint("w", n), 1000+n, 1)
		}
		if n := dialled.Load(); n != 64 {
			t.Errorf("%d workers are polled", n)
		}
		if !report("w0", 1000, 2) || !report("successor", 1000, 1) {
			t.Error("the heartbeats of a known worker and of its successor are refused")
		}
		cancel()
		g.Wait()
		l.Close(0)
	})
}

// lossyWorker leaves four of five polls unanswered.
type lossyWorker struct {
	*standin.Worker
	calls atomic.Int64
}

func (f *lossyWorker) Hold(ctx context.Context, o hostagent.HoldOrder) (hostagent.Answer, hostagent.RunLists, error) {
	if f.calls.Add(1)%5 != 1 {
		<-ctx.Done()
		return hostagent.Answer{}, hostagent.RunLists{}, hostagent.ErrNoAnswer
	}
	return f.Worker.Hold(ctx, o)
}

// A worker that answers one poll of five isn't reported as gone. An unanswered
// poll may still extend its lease seconds later, so that a task would run twice
// (TWICE on late-orders).
func TestWorkerAnsweringOnePollInFiveIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := eventlog.New(io.Discard, "n")
		defer l.Close(0)
		begin := time.Now()
		now := func() time.Duration { return time.Since(begin) }
		info := batch.Worker{ID: "w", StartTime: 1, Address: "10.0.0.1:80"}
		w := &lossyWorker{Worker: &standin.Worker{Info: info, Duration: func(batch.Task) time.Duration { return 0 }}}
		var a *hostagent.Agent
		var gone atomic.Int64
		a = &hostagent.Agent{
			Log: l, MaxLease: 6 * time.Second, Steady: now,
			Dial: func(netip.AddrPort, batch.WorkerKey) hostagent.Worker { return w },
			Send: func(m link.Message) bool {
				if m.WorkerGone != nil {
					gone.Add(1)
				}
				if m.Snapshot != nil {
					go a.HandleMessage(link.Message{SnapshotAck: &link.SnapshotAck{Key: info.Key()}})
				}
				return true
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = a.Run(ctx) }()
		synctest.Wait()
		a.SessionOpened(link.Welcome{Epoch: 1, Fence: 64})
		a.Heartbeat(hostagent.Heartbeat{Worker: info})
		for range 60 {
			a.SessionGranted(now(), hostagent.LeaseGrant)
			time.Sleep(500 * time.Millisecond)
		}
		cancel()
		<-done
		if n := gone.Load(); n != 0 {
			t.Errorf("the worker was reported as gone %d times, want 0", n)
		}
	})
}

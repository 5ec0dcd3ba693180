package local

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	targetstandin "github.com/sesamestream/sesamestream/internal/target/standin"
	workerstandin "github.com/sesamestream/sesamestream/internal/worker/standin"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The sizes of the measurements.
const (
	settleTime  = 8 * time.Second
	observeTime = 20 * time.Second
	peersEach   = 100
	callsEach   = 2000
	jobsEach    = 64
	startsTime  = 10 * time.Second
)

// share returns the processor time between two readings as a percentage of one core.
func share(before, after, span time.Duration) float64 {
	return 100 * (after - before).Seconds() / span.Seconds()
}

// table puts the trial's table in force and waits until an entry or agent says so.
func (f *fleetOf) table(r running) {
	f.b.Helper()
	f.until(func() bool {
		_, err := f.operate(r, "table", "set", "../../examples/trial/table.yaml")
		return err == nil
	})
}

func (f *fleetOf) operate(r running, args ...string) (string, error) {
	c := exec.Command(f.binary, args...)
	c.Env = append(os.Environ(), "SESAMESTREAM_AT="+r.operator.String(), "SESAMESTREAM_KEYS="+filepath.Join(f.dir, "keys"))
	out, err := c.CombinedOutput()
	return string(out), err
}

func (f *fleetOf) until(done func() bool) {
	f.b.Helper()
	for began := time.Now(); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			f.b.Fatal("not done within a minute")
		}
	}
}

// worker runs the stand-in of a worker beside an agent.
func (f *fleetOf) worker(r running, slots int) *workerstandin.Recorder {
	ctx, stop := context.WithCancel(context.Background())
	f.b.Cleanup(stop)
	w := &workerstandin.Worker{
		ID: "worker", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Agent: r.host,
		Resources: fleet.Resources{Processors: 1_000_000, Memory: 1 << 40, Slots: slots},
		Recorder:  &workerstandin.Recorder{},
	}
	go func() { _ = w.Run(ctx) }()
	return w.Recorder
}

// target runs the stand-in of a target beside an agent.
func (f *fleetOf) target(r running) {
	ctx, stop := context.WithCancel(context.Background())
	f.b.Cleanup(stop)
	t := &targetstandin.Target{
		ID: "target", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Agent: r.host,
		Kinds: []fleet.Kind{"gust"}, Connections: 64, Recorder: &targetstandin.Recorder{},
	}
	go func() { _ = t.Run(ctx) }()
}

// BenchmarkIdleProcesses reports what an agent that owns all shards, one that
// owns none, and an entry use while nothing is asked of them.
func BenchmarkIdleProcesses(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		all := []running{f.start("agent", "a1", "mui-ne")}
		time.Sleep(settleTime)
		all = append(all, f.start("agent", "a2", "mui-ne"), f.start("entry", "e1", "mui-ne"))
		f.table(all[0])
		time.Sleep(settleTime)
		before := f.store.Counts()
		var used []time.Duration
		for _, r := range all {
			used = append(used, processor(b, r.pid))
		}
		time.Sleep(observeTime)
		after := f.store.Counts()
		for i, name := range []string{"owner", "agent", "entry"} {
			b.ReportMetric(share(used[i], processor(b, all[i].pid), observeTime), name+"-core%")
			b.ReportMetric(resident(b, all[i].pid), name+"-MB")
		}
		b.ReportMetric(float64(after.Reads-before.Reads)/observeTime.Seconds(), "reads/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/observeTime.Seconds(), "writes/s")
		b.ReportMetric(float64(after.Watches-before.Watches)/observeTime.Seconds(), "watches/s")
	}
}

// BenchmarkPeerConnections reports the memory of one more peer that is
// connected to an agent.
func BenchmarkPeerConnections(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		r := f.start("agent", "a1", "mui-ne")
		time.Sleep(settleTime)
		before := resident(b, r.pid)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		for range peersEach {
			if _, err := peer.Call[message.Empty, message.Status](ctx, f.node(), r.peer, message.OperationStatus, message.Empty{}); err != nil {
				b.Fatal(err)
			}
		}
		cancel()
		time.Sleep(time.Second)
		b.ReportMetric(1024*(resident(b, r.pid)-before)/peersEach, "KB/peer")
	}
}

// tellOf is what a host tells an owner: its room, or the attempts it holds.
func tellOf(id string, at netip.AddrPort, attempts int) message.AgentReport {
	t := message.AgentReport{Agent: fleet.ProcessIncarnation{ID: fleet.ID(id), Incarnation: 1}, Worker: 1, Address: at}
	if attempts == 0 {
		full := fleet.Resources{Processors: 16_000, Memory: 60 << 30, Slots: 8}
		t.Capacity = &place.Host{
			ID: t.Agent.ID, Agent: 1, Worker: 1, Total: full, Free: full,
			Place: fleet.Place{Region: "nam-bo", DataCentre: "mui-ne", Rack: "r1"},
		}
	}
	for i := range attempts {
		t.Attempts = append(t.Attempts, message.Attempt{Task: task.ID{Job: "dossier-2026-000001", Index: uint32(i)}, Number: 1})
	}
	return t
}

// BenchmarkTells reports an owner's processor time and the bytes of one report of a host.
func BenchmarkTells(b *testing.B) {
	for _, attempts := range []int{0, 1, 15} {
		b.Run(fmt.Sprint("attempts=", attempts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b)
				r := f.start("agent", "a1", "mui-ne")
				time.Sleep(settleTime)
				n := f.node()
				relay := f.relay(r.peer)
				q := tellOf("a2", n.Listen, attempts)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				used := processor(b, r.pid)
				began := time.Now()
				pace := time.NewTicker(2 * time.Millisecond)
				for i := range callsEach {
					<-pace.C
					q.Shard = host.Shard(i % 16)
					if _, err := peer.Call[message.AgentReport, message.Empty](ctx, n, relay.at, message.OperationReport, q); err != nil {
						b.Fatal(err)
					}
				}
				pace.Stop()
				cancel()
				b.ReportMetric(float64((processor(b, r.pid)-used).Microseconds())/callsEach, "µs-core/tell")
				b.ReportMetric(float64(relay.bytes.Load())/callsEach, "bytes/tell")
				b.ReportMetric(float64(relay.packets.Load())/callsEach, "packets/tell")
				b.ReportMetric(callsEach/time.Since(began).Seconds(), "tells/s")
			}
		})
	}
}

// BenchmarkRequestCost reports the processor time of one request at an entry and at an agent.
func BenchmarkRequestCost(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		a := f.start("agent", "a1", "mui-ne")
		e := f.start("entry", "e1", "mui-ne")
		f.target(a)
		f.table(a)
		url := "http://" + e.caller.String() + "/gust/beach"
		f.until(func() bool { return answered(url) })
		const requests = 16_000
		atEntry, atAgent := processor(b, e.pid), processor(b, a.pid)
		h := post(b, url, 8, requests)
		b.ReportMetric(float64((processor(b, e.pid)-atEntry).Microseconds())/requests, "entry-µs-core/request")
		b.ReportMetric(float64((processor(b, a.pid)-atAgent).Microseconds())/requests, "agent-µs-core/request")
		b.ReportMetric(resident(b, e.pid), "entry-MB")
		b.ReportMetric(resident(b, a.pid), "agent-MB")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	}
}

// BenchmarkStarts reports the cost of starts at a process that is owner and
// agent, and at the store.
func BenchmarkStarts(b *testing.B) {
	for _, slots := range []int{64, 256} {
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b)
				a := f.start("agent", "a1", "mui-ne")
				runs := f.worker(a, slots)
				f.table(a)
				for i := range jobsEach {
					f.job(a, fmt.Sprint("short-", i), slots/2, "10ms")
				}
				before, used, done := f.store.Counts(), processor(b, a.pid), runs.Counts().Done
				time.Sleep(startsTime)
				after, starts := f.store.Counts(), float64(runs.Counts().Done-done)
				b.ReportMetric(starts/startsTime.Seconds(), "starts/s")
				b.ReportMetric(float64((processor(b, a.pid)-used).Microseconds())/starts, "µs-core/start")
				b.ReportMetric(1000*float64(after.Writes-before.Writes)/starts, "writes/1000")
				b.ReportMetric(1000*float64(after.Bytes-before.Bytes)/starts, "bytes/1000")
				b.ReportMetric(float64(after.Writes-before.Writes)/startsTime.Seconds(), "writes/s")
				b.ReportMetric(resident(b, a.pid), "MB")
			}
		})
	}
}

// BenchmarkRunningTasks reports what a process that is owner and agent uses
// for tasks that run.
func BenchmarkRunningTasks(b *testing.B) {
	for _, n := range []int{0, 32, 64} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b)
				a := f.start("agent", "a1", "mui-ne")
				f.worker(a, 64)
				f.table(a)
				for i := range n / 4 {
					f.job(a, fmt.Sprint("long-", i), 4, "10m")
				}
				time.Sleep(settleTime)
				used := processor(b, a.pid)
				time.Sleep(observeTime)
				b.ReportMetric(share(used, processor(b, a.pid), observeTime), "core%")
				b.ReportMetric(resident(b, a.pid), "MB")
			}
		})
	}
}

// job submits a batch job once its shard has an owner.
func (f *fleetOf) job(r running, id string, tasks int, command string) {
	f.b.Helper()
	j := operator.Job{
		ID: task.JobID(id), Kind: "forecast", Class: table.ClassBatch, Tasks: uint32(tasks), Command: command,
		Resources: fleet.Resources{Processors: 1000, Memory: 1 << 30, Slots: 1},
	}
	dir := filepath.Join(f.dir, "keys")
	k, err := peer.LoadKeys(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "operator.pem"), filepath.Join(dir, "operator.key"))
	if err != nil {
		f.b.Fatal(err)
	}
	c := &operator.Client{Address: r.operator, Keys: k}
	f.until(func() bool { return c.Call(context.Background(), http.MethodPost, operator.PathJobs, j, nil) == nil })
}

func answered(url string) bool {
	r, err := http.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

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
	settleDuration  = 8 * time.Second
	observeDuration = 20 * time.Second
	connectedPeers  = 100
	reportCalls     = 2000
	submittedJobs   = 64
	startsDuration  = 10 * time.Second
)

// corePercent returns the processor time between two readings as a percentage of one core.
func corePercent(before, after, span time.Duration) float64 {
	return 100 * (after - before).Seconds() / span.Seconds()
}

// setTable sets the table of the trial, and retries until the process accepts it.
func (f *processFleet) setTable(r runningProcess) {
	f.b.Helper()
	f.waitUntil(func() bool {
		_, err := f.runOperatorCommand(r, "table", "set", "../../examples/trial/table.yaml")
		return err == nil
	})
}

// runOperatorCommand runs a command of the binary against the operators' port of a
// process and returns its output.
func (f *processFleet) runOperatorCommand(r runningProcess, args ...string) (string, error) {
	c := exec.Command(f.binary, args...)
	c.Env = append(os.Environ(), "SESAMESTREAM_AT="+r.operator.String(), "SESAMESTREAM_KEYS="+filepath.Join(f.dir, "keys"))
	out, err := c.CombinedOutput()
	return string(out), err
}

// waitUntil polls until done returns true.
func (f *processFleet) waitUntil(done func() bool) {
	f.b.Helper()
	for began := time.Now(); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			f.b.Fatal("condition not met within a minute")
		}
	}
}

// startWorker runs the stand-in of a worker for an agent until the test ends.
func (f *processFleet) startWorker(r runningProcess, slots int) *workerstandin.Recorder {
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

// startTarget runs the stand-in of a target for an agent until the test ends.
func (f *processFleet) startTarget(r runningProcess) {
	ctx, stop := context.WithCancel(context.Background())
	f.b.Cleanup(stop)
	t := &targetstandin.Target{
		ID: "target", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Agent: r.host,
		Kinds: []fleet.Kind{"gust"}, Connections: 64, Recorder: &targetstandin.Recorder{},
	}
	go func() { _ = t.Run(ctx) }()
}

// BenchmarkIdleProcesses reports the resources that an agent that owns all shards, an
// agent that owns none and an entry use while they are idle, and their store calls.
func BenchmarkIdleProcesses(b *testing.B) {
	for b.Loop() {
		f := newProcessFleet(b)
		processes := []runningProcess{f.startProcess("agent", "a1", "mui-ne")}
		time.Sleep(settleDuration)
		processes = append(processes, f.startProcess("agent", "a2", "mui-ne"), f.startProcess("entry", "e1", "mui-ne"))
		f.setTable(processes[0])
		time.Sleep(settleDuration)
		before := f.store.Counts()
		var used []time.Duration
		for _, r := range processes {
			used = append(used, processorTime(b, r.pid))
		}
		time.Sleep(observeDuration)
		after := f.store.Counts()
		for i, name := range []string{"owner", "agent", "entry"} {
			b.ReportMetric(corePercent(used[i], processorTime(b, processes[i].pid), observeDuration), name+"-core%")
			b.ReportMetric(residentMB(b, processes[i].pid), name+"-MB")
		}
		b.ReportMetric(float64(after.Reads-before.Reads)/observeDuration.Seconds(), "reads/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/observeDuration.Seconds(), "writes/s")
		b.ReportMetric(float64(after.Watches-before.Watches)/observeDuration.Seconds(), "watches/s")
	}
}

// BenchmarkPeerConnections reports the memory that an agent uses for each connected peer.
func BenchmarkPeerConnections(b *testing.B) {
	for b.Loop() {
		f := newProcessFleet(b)
		r := f.startProcess("agent", "a1", "mui-ne")
		time.Sleep(settleDuration)
		before := residentMB(b, r.pid)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		for range connectedPeers {
			if _, err := peer.Call[message.Empty, message.Status](ctx, f.startNode(), r.peer, message.OperationStatus, message.Empty{}); err != nil {
				b.Fatal(err)
			}
		}
		cancel()
		time.Sleep(time.Second)
		b.ReportMetric(1024*(residentMB(b, r.pid)-before)/connectedPeers, "KB/peer")
	}
}

// agentReport returns a host's report to the owner of a shard: its free capacity, or the
// attempts that it holds.
func agentReport(id string, at netip.AddrPort, attempts int) message.AgentReport {
	report := message.AgentReport{Agent: fleet.ProcessIncarnation{ID: fleet.ID(id), Incarnation: 1}, Worker: 1, Address: at}
	if attempts == 0 {
		total := fleet.Resources{Processors: 16_000, Memory: 60 << 30, Slots: 8}
		report.Capacity = &place.Host{
			ID: report.Agent.ID, Agent: 1, Worker: 1, Total: total, Free: total,
			Place: fleet.Place{Region: "nam-bo", DataCentre: "mui-ne", Rack: "r1"},
		}
	}
	for i := range attempts {
		report.Attempts = append(report.Attempts, message.Attempt{Task: task.ID{Job: "dossier-2026-000001", Index: uint32(i)}, Number: 1})
	}
	return report
}

// BenchmarkAgentReports reports the processor time that an owner spends on one report of a host,
// and the report's size on the network.
func BenchmarkAgentReports(b *testing.B) {
	for _, attempts := range []int{0, 1, 15} {
		b.Run(fmt.Sprint("attempts=", attempts), func(b *testing.B) {
			for b.Loop() {
				f := newProcessFleet(b)
				r := f.startProcess("agent", "a1", "mui-ne")
				time.Sleep(settleDuration)
				n := f.startNode()
				relay := f.startRelay(r.peer)
				report := agentReport("a2", n.Listen, attempts)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				used := processorTime(b, r.pid)
				began := time.Now()
				ticker := time.NewTicker(2 * time.Millisecond)
				for i := range reportCalls {
					<-ticker.C
					report.Shard = host.Shard(i % 16)
					if _, err := peer.Call[message.AgentReport, message.Empty](ctx, n, relay.address, message.OperationReport, report); err != nil {
						b.Fatal(err)
					}
				}
				ticker.Stop()
				cancel()
				b.ReportMetric(float64((processorTime(b, r.pid)-used).Microseconds())/reportCalls, "µs-core/tell")
				b.ReportMetric(float64(relay.bytes.Load())/reportCalls, "bytes/tell")
				b.ReportMetric(float64(relay.packets.Load())/reportCalls, "packets/tell")
				b.ReportMetric(reportCalls/time.Since(began).Seconds(), "tells/s")
			}
		})
	}
}

// BenchmarkRequestCost reports the processor time of one request at an entry and at an agent.
func BenchmarkRequestCost(b *testing.B) {
	for b.Loop() {
		f := newProcessFleet(b)
		a := f.startProcess("agent", "a1", "mui-ne")
		e := f.startProcess("entry", "e1", "mui-ne")
		f.startTarget(a)
		f.setTable(a)
		url := "http://" + e.caller.String() + "/gust/beach"
		f.waitUntil(func() bool { return isAnswered(url) })
		const requests = 16_000
		atEntry, atAgent := processorTime(b, e.pid), processorTime(b, a.pid)
		h := measurePosts(b, url, 8, requests)
		b.ReportMetric(float64((processorTime(b, e.pid)-atEntry).Microseconds())/requests, "entry-µs-core/request")
		b.ReportMetric(float64((processorTime(b, a.pid)-atAgent).Microseconds())/requests, "agent-µs-core/request")
		b.ReportMetric(residentMB(b, e.pid), "entry-MB")
		b.ReportMetric(residentMB(b, a.pid), "agent-MB")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	}
}

// BenchmarkStarts reports the cost of task starts at a process that is owner and agent,
// and at the store.
func BenchmarkStarts(b *testing.B) {
	for _, slots := range []int{64, 256} {
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) {
			for b.Loop() {
				f := newProcessFleet(b)
				a := f.startProcess("agent", "a1", "mui-ne")
				runs := f.startWorker(a, slots)
				f.setTable(a)
				for i := range submittedJobs {
					f.submitJob(a, fmt.Sprint("short-", i), slots/2, "10ms")
				}
				before, used, done := f.store.Counts(), processorTime(b, a.pid), runs.Counts().Done
				time.Sleep(startsDuration)
				after, starts := f.store.Counts(), float64(runs.Counts().Done-done)
				b.ReportMetric(starts/startsDuration.Seconds(), "starts/s")
				b.ReportMetric(float64((processorTime(b, a.pid)-used).Microseconds())/starts, "µs-core/start")
				b.ReportMetric(1000*float64(after.Writes-before.Writes)/starts, "writes/1000")
				b.ReportMetric(1000*float64(after.Bytes-before.Bytes)/starts, "bytes/1000")
				b.ReportMetric(float64(after.Writes-before.Writes)/startsDuration.Seconds(), "writes/s")
				b.ReportMetric(residentMB(b, a.pid), "MB")
			}
		})
	}
}

// BenchmarkRunningTasks reports the resources that a process that is owner and agent uses
// for running tasks.
func BenchmarkRunningTasks(b *testing.B) {
	for _, n := range []int{0, 32, 64} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) {
			for b.Loop() {
				f := newProcessFleet(b)
				a := f.startProcess("agent", "a1", "mui-ne")
				f.startWorker(a, 64)
				f.setTable(a)
				for i := range n / 4 {
					f.submitJob(a, fmt.Sprint("long-", i), 4, "10m")
				}
				time.Sleep(settleDuration)
				used := processorTime(b, a.pid)
				time.Sleep(observeDuration)
				b.ReportMetric(corePercent(used, processorTime(b, a.pid), observeDuration), "core%")
				b.ReportMetric(residentMB(b, a.pid), "MB")
			}
		})
	}
}

// submitJob submits a batch job, and retries until its shard has an owner that accepts it.
func (f *processFleet) submitJob(r runningProcess, id string, tasks int, command string) {
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
	f.waitUntil(func() bool { return c.Call(context.Background(), http.MethodPost, operator.PathJobs, j, nil) == nil })
}

// isAnswered reports whether a request to the URL succeeds.
func isAnswered(url string) bool {
	r, err := http.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

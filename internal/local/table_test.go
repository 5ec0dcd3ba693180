package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"

	storestandin "github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/process"
	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// editsPerSize is the number of edits that are timed at each fleet size.
const editsPerSize = 20

// appliedRevisions records when each member put each revision in force, and counts the
// revisions that came into force after a greater one.
type appliedRevisions struct {
	mu        sync.Mutex
	appliedAt map[table.Revision]map[fleet.ID]time.Time
	newest    map[fleet.ID]table.Revision
	reverted  int
}

func (a *appliedRevisions) record(id fleet.ID, r table.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.appliedAt[r] == nil {
		a.appliedAt[r] = make(map[fleet.ID]time.Time)
	}
	a.appliedAt[r][id] = time.Now()
	if r < a.newest[id] {
		a.reverted++
	}
	a.newest[id] = r
}

// timesOf returns the times at which members put a revision in force.
func (a *appliedRevisions) timesOf(r table.Revision) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []time.Time
	for _, t := range a.appliedAt[r] {
		out = append(out, t)
	}
	return out
}

// A revisionWriter is the log writer of one member. It records the revisions that the
// member's events report as in force.
type revisionWriter struct {
	id        fleet.ID
	revisions *appliedRevisions
}

// Write records the revision of one event.
func (t *revisionWriter) Write(b []byte) (int, error) {
	var e struct {
		Event    string         `json:"event"`
		Revision table.Revision `json:"revision"`
	}
	if json.Unmarshal(b, &e) == nil && e.Event == "tableInForce" {
		t.revisions.record(t.id, e.Revision)
	}
	return len(b), nil
}

// startMembers runs n members, distributed over the places, without targets and workers
// until the test ends.
func startMembers(b *testing.B, n int, places []fleet.Place) (*Cluster, *appliedRevisions) {
	c := &Cluster{Tasks: settings.Default().Tasks, Dir: b.TempDir()}
	address, err := freeAddress()
	if err != nil {
		b.Fatal(err)
	}
	c.Store = &storestandin.Server{Address: address}
	if err := c.makeSecrets(time.Now()); err != nil {
		b.Fatal(err)
	}
	for i := range n {
		role := fleet.RoleAgent
		if i < 2 {
			role = fleet.RoleEntry
		}
		if err := c.addMember(role, fleet.ID(fmt.Sprint("m", i)), places[i%len(places)]); err != nil {
			b.Fatal(err)
		}
	}
	a := &appliedRevisions{appliedAt: make(map[table.Revision]map[fleet.ID]time.Time), newest: make(map[fleet.ID]table.Revision)}
	ctx, stop := context.WithCancel(context.Background())
	var stopped sync.WaitGroup
	var processes []*process.Process
	b.Cleanup(func() {
		for _, p := range processes {
			p.Kill()
		}
		stop()
		stopped.Wait()
	})
	go func() { _ = c.Store.Run(ctx) }()
	var seeds []netip.AddrPort
	for _, m := range append(append([]*Member{}, c.Entries...), c.Agents...) {
		if len(seeds) < len(places) {
			seeds = append(seeds, m.Settings.Peer.Listen)
		}
		m.Settings.Seeds = seeds
		l := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &revisionWriter{m.Settings.ID, a}}}
		p := &process.Process{Settings: m.Settings, Secrets: c.secrets, Log: l}
		processes = append(processes, p)
		stopped.Go(func() {
			if err := p.Run(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	return c, a
}

// editTable sends one edit to a member and returns when it was sent and its revision. It
// retries until the edit is accepted.
func (c *Cluster) editTable(b *testing.B, m *Member, base table.Revision) (time.Time, table.Revision) {
	t := DemoTable()
	t.Rows[0].Weight += float64(base%2) / 2
	for range 600 {
		began := time.Now()
		var v struct {
			Table table.Table `json:"table"`
		}
		err := c.ClientOf(m).Call(context.Background(), http.MethodPost, operator.PathTable, operator.TableEdit{Base: base, Table: t, By: "bench"}, &v)
		if err == nil {
			return began, base + 1
		}
		time.Sleep(pollInterval)
	}
	b.Fatal("no edit was accepted in 600 attempts")
	return time.Time{}, 0
}

// waitApplied waits until n members have put a revision in force.
func (a *appliedRevisions) waitApplied(b *testing.B, r table.Revision, n int) {
	for began := time.Now(); len(a.timesOf(r)) < n; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			b.Fatalf("revision %d is in force at %d of %d members", r, len(a.timesOf(r)), n)
		}
	}
}

// BenchmarkEditInForce reports the time from sending an edit until it is in force at
// each member, with the store up and with the store down once the edit is accepted. It
// also reports the cost of an idle member.
func BenchmarkEditInForce(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		for _, mode := range []storestandin.FaultMode{storestandin.Up, storestandin.Down} {
			b.Run(fmt.Sprintf("members=%d/store=%s", n, mode), func(b *testing.B) {
				for b.Loop() {
					c, a := startMembers(b, n, deploymentPlaces)
					_, r := c.editTable(b, c.Entries[0], 0)
					a.waitApplied(b, r, n)
					time.Sleep(settleDuration)
					before, used := c.Store.Counts(), processorTime(b, os.Getpid())
					time.Sleep(observeDuration)
					after := c.Store.Counts()
					b.ReportMetric(corePercent(used, processorTime(b, os.Getpid()), observeDuration)/float64(n), "core%/member")
					b.ReportMetric(residentMB(b, os.Getpid())/float64(n), "MB/member")
					b.ReportMetric(float64(after.Reads-before.Reads)/observeDuration.Seconds(), "reads/s")
					b.ReportMetric(float64(after.Writes-before.Writes)/observeDuration.Seconds(), "writes/s")
					h := c.measureEdits(b, a, r, n, mode)
					b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
					b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
					b.ReportMetric(float64(h.Max())/1000, "max-ms")
					b.ReportMetric(float64(a.reverted), "reverted")
				}
			})
		}
	}
}

// measureEdits sends edits to members in turn and returns how long each took to come
// into force at each member.
func (c *Cluster) measureEdits(b *testing.B, a *appliedRevisions, r table.Revision, n int, mode storestandin.FaultMode) *hdrhistogram.Histogram {
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	members := append(append([]*Member{}, c.Entries...), c.Agents...)
	for i := range editsPerSize {
		began, next := c.editTable(b, members[i%len(members)], r)
		_ = c.Store.SetFault(storestandin.Fault{Mode: mode})
		a.waitApplied(b, next, n)
		_ = c.Store.SetFault(storestandin.Fault{Mode: storestandin.Up})
		for _, t := range a.timesOf(next) {
			_ = h.RecordValue(t.Sub(began).Microseconds())
		}
		r = next
	}
	return h
}

// BenchmarkIdleStoreCalls reports the store calls of an idle fleet by its number of data centres,
// and the share of agents, bridges included, that know of other data centres.
func BenchmarkIdleStoreCalls(b *testing.B) {
	const membersEach = 12
	for _, n := range []int{1, 3, 9} {
		b.Run(fmt.Sprint("dataCentres=", n), func(b *testing.B) {
			var places []fleet.Place
			for i := range n {
				places = append(places, fleet.Place{Region: fmt.Sprint("region-", i/3), DataCentre: fmt.Sprint("dc-", i), Rack: "r1"})
			}
			for b.Loop() {
				c, a := startMembers(b, n*membersEach, places)
				_, r := c.editTable(b, c.Entries[0], 0)
				a.waitApplied(b, r, n*membersEach)
				time.Sleep(2 * settleDuration)
				before := c.Store.Counts()
				time.Sleep(observeDuration)
				after := c.Store.Counts()
				b.ReportMetric(float64(after.Reads-before.Reads)/observeDuration.Seconds(), "reads/s")
				b.ReportMetric(float64(after.Writes-before.Writes)/observeDuration.Seconds(), "writes/s")
				b.ReportMetric(c.shareSeeingOtherDataCentres(b), "agents-that-hear-of-others")
			}
		})
	}
}

// shareSeeingOtherDataCentres returns the share of agents that know of other data centres.
func (c *Cluster) shareSeeingOtherDataCentres(b *testing.B) float64 {
	seeing := 0
	for _, m := range c.Agents {
		var s []message.Status
		if err := c.ClientOf(m).Call(context.Background(), http.MethodGet, operator.PathStatus+"?only=self", nil, &s); err != nil {
			b.Fatal(err)
		}
		if s[0].DataCentres > 0 {
			seeing++
		}
	}
	return float64(seeing) / float64(len(c.Agents))
}

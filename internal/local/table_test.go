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

// editsEach is how many edits are timed at each size.
const editsEach = 20

// An applied notes when each member put each revision in force, and a revision
// that came into force after a greater one.
type applied struct {
	mu       sync.Mutex
	at       map[table.Revision]map[fleet.ID]time.Time
	newest   map[fleet.ID]table.Revision
	reverted int
}

func (a *applied) note(id fleet.ID, r table.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at[r] == nil {
		a.at[r] = make(map[fleet.ID]time.Time)
	}
	a.at[r][id] = time.Now()
	if r < a.newest[id] {
		a.reverted++
	}
	a.newest[id] = r
}

// times returns when each member put a revision in force.
func (a *applied) times(r table.Revision) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []time.Time
	for _, t := range a.at[r] {
		out = append(out, t)
	}
	return out
}

// A tail passes one member's events to an applied.
type tail struct {
	id      fleet.ID
	applied *applied
}

// Write takes one event.
func (t *tail) Write(b []byte) (int, error) {
	var e struct {
		Event    string         `json:"event"`
		Revision table.Revision `json:"revision"`
	}
	if json.Unmarshal(b, &e) == nil && e.Event == "tableInForce" {
		t.applied.note(t.id, e.Revision)
	}
	return len(b), nil
}

// crowd runs n members in some places with no targets and no workers until the test ends.
func crowd(b *testing.B, n int, places []fleet.Place) (*Cluster, *applied) {
	c := &Cluster{Tasks: settings.Default().Tasks, Dir: b.TempDir()}
	at, err := freeAddress()
	if err != nil {
		b.Fatal(err)
	}
	c.Store = &storestandin.Server{Address: at}
	if err := c.makeSecrets(time.Now()); err != nil {
		b.Fatal(err)
	}
	for i := range n {
		role := fleet.RoleAgent
		if i < 2 {
			role = fleet.RoleEntry
		}
		if err := c.add(role, fleet.ID(fmt.Sprint("m", i)), places[i%len(places)]); err != nil {
			b.Fatal(err)
		}
	}
	a := &applied{at: make(map[table.Revision]map[fleet.ID]time.Time), newest: make(map[fleet.ID]table.Revision)}
	ctx, stop := context.WithCancel(context.Background())
	var w sync.WaitGroup
	var all []*process.Process
	b.Cleanup(func() {
		for _, p := range all {
			p.Kill()
		}
		stop()
		w.Wait()
	})
	go func() { _ = c.Store.Run(ctx) }()
	var seeds []netip.AddrPort
	for _, m := range append(append([]*Member{}, c.Entries...), c.Agents...) {
		if len(seeds) < len(places) {
			seeds = append(seeds, m.Settings.Peer.Listen)
		}
		m.Settings.Seeds = seeds
		l := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &tail{m.Settings.ID, a}}}
		p := &process.Process{Settings: m.Settings, Secrets: c.secrets, Log: l}
		all = append(all, p)
		w.Go(func() {
			if err := p.Run(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	return c, a
}

// edit makes one edit at a member and returns when it was sent and its revision.
func (c *Cluster) edit(b *testing.B, m *Member, base table.Revision) (time.Time, table.Revision) {
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
		time.Sleep(readyPoll)
	}
	b.Fatal("no edit was accepted")
	return time.Time{}, 0
}

// everywhere waits until n members have put a revision in force.
func (a *applied) everywhere(b *testing.B, r table.Revision, n int) {
	for began := time.Now(); len(a.times(r)) < n; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			b.Fatalf("revision %d is in force at %d of %d members", r, len(a.times(r)), n)
		}
	}
}

// BenchmarkEditInForce reports the time from sending an edit until it is in
// force at each member, with the store up and with it down from the answer on.
func BenchmarkEditInForce(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		for _, mode := range []storestandin.FaultMode{storestandin.Up, storestandin.Down} {
			b.Run(fmt.Sprintf("members=%d/store=%s", n, mode), func(b *testing.B) {
				for b.Loop() {
					c, a := crowd(b, n, places)
					_, r := c.edit(b, c.Entries[0], 0)
					a.everywhere(b, r, n)
					time.Sleep(settleTime)
					before, used := c.Store.Counts(), processor(b, os.Getpid())
					time.Sleep(observeTime)
					after := c.Store.Counts()
					b.ReportMetric(share(used, processor(b, os.Getpid()), observeTime)/float64(n), "core%/member")
					b.ReportMetric(resident(b, os.Getpid())/float64(n), "MB/member")
					b.ReportMetric(float64(after.Reads-before.Reads)/observeTime.Seconds(), "reads/s")
					b.ReportMetric(float64(after.Writes-before.Writes)/observeTime.Seconds(), "writes/s")
					h := c.edits(b, a, r, n, mode)
					b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
					b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
					b.ReportMetric(float64(h.Max())/1000, "max-ms")
					b.ReportMetric(float64(a.reverted), "reverted")
				}
			})
		}
	}
}

// edits makes edits at members in turn and returns how long each took to be
// in force at each member.
func (c *Cluster) edits(b *testing.B, a *applied, r table.Revision, n int, mode storestandin.FaultMode) *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowest, highest, digits)
	all := append(append([]*Member{}, c.Entries...), c.Agents...)
	for i := range editsEach {
		began, next := c.edit(b, all[i%len(all)], r)
		_ = c.Store.SetFault(storestandin.Fault{Mode: mode})
		a.everywhere(b, next, n)
		_ = c.Store.SetFault(storestandin.Fault{Mode: storestandin.Up})
		for _, t := range a.times(next) {
			_ = h.RecordValue(t.Sub(began).Microseconds())
		}
		r = next
	}
	return h
}

// BenchmarkLooks reports the store calls of a fleet at rest by its data
// centres, and how many others an agent that is no bridge hears of.
func BenchmarkLooks(b *testing.B) {
	const each = 12
	for _, n := range []int{1, 3, 9} {
		b.Run(fmt.Sprint("dataCentres=", n), func(b *testing.B) {
			var at []fleet.Place
			for i := range n {
				at = append(at, fleet.Place{Region: fmt.Sprint("region-", i/3), DataCentre: fmt.Sprint("dc-", i), Rack: "r1"})
			}
			for b.Loop() {
				c, a := crowd(b, n*each, at)
				_, r := c.edit(b, c.Entries[0], 0)
				a.everywhere(b, r, n*each)
				time.Sleep(2 * settleTime)
				before := c.Store.Counts()
				time.Sleep(observeTime)
				after := c.Store.Counts()
				b.ReportMetric(float64(after.Reads-before.Reads)/observeTime.Seconds(), "reads/s")
				b.ReportMetric(float64(after.Writes-before.Writes)/observeTime.Seconds(), "writes/s")
				b.ReportMetric(c.agentsThatHear(b), "agents-that-hear-of-others")
			}
		})
	}
}

// agentsThatHear returns the share of agents that hear of other data centres.
func (c *Cluster) agentsThatHear(b *testing.B) float64 {
	hear := 0
	for _, m := range c.Agents {
		var s []message.Status
		if err := c.ClientOf(m).Call(context.Background(), http.MethodGet, operator.PathStatus+"?only=self", nil, &s); err != nil {
			b.Fatal(err)
		}
		if s[0].DataCentres > 0 {
			hear++
		}
	}
	return float64(hear) / float64(len(c.Agents))
}

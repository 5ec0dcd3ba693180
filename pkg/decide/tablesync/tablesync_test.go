package tablesync_test

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/tablesync"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func init() { _ = flag.Set("rapid.seed", "7") }

var (
	errNoRows = errors.New("bad")
	epoch     = time.Unix(1_700_000_000, 0)
)

// A process is a Machine with a record of its actions.
type process struct {
	tablesync.Machine
	addr    netip.AddrPort
	applied []table.Table
	token   uint64
	refused int
	reads   int
}

func newProcess(i int) *process {
	p := &process{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
	p.Random = rand.New(rand.NewPCG(uint64(i), 7))
	p.Validate = func(t table.Table) error {
		if len(t.Rows) == 0 {
			return errNoRows
		}
		return nil
	}
	return p
}

// A cluster is a store with processes, of which the first two are watchers.
type cluster struct {
	now         time.Time
	storeTables []table.Table // accepted tables, oldest first
	storeUp     bool
	processes   []*process
	partition   int // processes with an index below it reach only each other
}

// acceptTable adds a new table, which has no rows if it is invalid, to the store.
func (w *cluster) acceptTable(invalid bool) {
	t := table.Table{Revision: table.Revision(10*len(w.storeTables) + 10)}
	if !invalid {
		t.Rows = []table.Row{{Kind: fleet.Kind(rune('a' + len(w.storeTables)%26)), Weight: float64(len(w.storeTables))}}
	}
	w.storeTables = append(w.storeTables, t)
}

// step sends e to process i and carries out the actions.
func (w *cluster) step(i int, e tablesync.Event) {
	p := w.processes[i]
	for _, a := range p.Step(w.now, e, nil) {
		switch a := a.(type) {
		case tablesync.Apply:
			p.applied, p.token = append(p.applied, a.Table), a.Token
		case tablesync.Announce:
			p.token = a.Token
		case tablesync.Refuse:
			p.refused++
		case tablesync.ReadStore:
			p.reads++
			w.answerStoreRead(i)
		case tablesync.Fetch:
			w.answerFetch(i, a.From)
		}
	}
}

// answerStoreRead sends the newest table of the store to process i, or reports that it is unreachable.
func (w *cluster) answerStoreRead(i int) {
	if !w.storeUp || i < w.partition {
		w.step(i, tablesync.StoreUnreachable{})
		return
	}
	t := table.Table{}
	if len(w.storeTables) > 0 {
		t = w.storeTables[len(w.storeTables)-1]
	}
	w.step(i, tablesync.StoreAnswered{Table: t})
}

// answerFetch sends the table of the process at from to process i, or reports that the fetch failed.
func (w *cluster) answerFetch(i int, from netip.AddrPort) {
	for j, q := range w.processes {
		t, ok := q.Table()
		if q.addr == from && ok && (i < w.partition) == (j < w.partition) {
			w.step(i, tablesync.Fetched{Table: t, From: from})
			return
		}
	}
	w.step(i, tablesync.FetchFailed{From: from})
}

// announce delivers the announcement of process j to process i.
func (w *cluster) announce(i, j int) {
	q := w.processes[j]
	if t, ok := q.Table(); ok && (i < w.partition) == (j < w.partition) {
		w.step(i, tablesync.PeerAnnounced{Revision: t.Revision, From: q.addr, Token: q.token})
	}
}

// advanceSecond advances the time by a second. The store answers the watchers, and every process
// receives the announcements of all processes.
func (w *cluster) advanceSecond() {
	w.now = w.now.Add(time.Second)
	for i, p := range w.processes {
		if p.Watching() {
			w.answerStoreRead(i)
		}
		for j := range w.processes {
			w.announce(i, j)
		}
		w.step(i, tablesync.Tick{})
	}
}

func newCluster(n int) *cluster {
	w := &cluster{now: epoch, storeUp: true}
	for i := range n {
		w.processes = append(w.processes, newProcess(i))
		w.step(i, tablesync.WatcherChanged{Watcher: i < tablesync.WatchersPerDataCentre})
	}
	return w
}

// newestValidTable returns the newest valid table that the store accepted.
func (w *cluster) newestValidTable() table.Table {
	for i := len(w.storeTables) - 1; i >= 0; i-- {
		if len(w.storeTables[i].Rows) > 0 {
			return w.storeTables[i]
		}
	}
	return table.Table{}
}

func TestTableNeverRevertsAndReachesAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w := newCluster(5)
		anyProcess := rapid.IntRange(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) { w.acceptTable(rapid.IntRange(0, 3).Draw(t, "bad") == 0) },
			"store":  func(t *rapid.T) { w.storeUp = rapid.Bool().Draw(t, "up") },
			"cut":    func(t *rapid.T) { w.partition = anyProcess.Draw(t, "cut") },
			"load":   func(t *rapid.T) { w.answerStoreRead(anyProcess.Draw(t, "i")) },
			"gossip": func(t *rapid.T) { w.announce(anyProcess.Draw(t, "i"), anyProcess.Draw(t, "j")) },
			"second": func(*rapid.T) { w.advanceSecond() },
			"restart": func(t *rapid.T) {
				i := anyProcess.Draw(t, "i")
				w.processes[i] = newProcess(i)
				w.step(i, tablesync.WatcherChanged{Watcher: i < tablesync.WatchersPerDataCentre})
			},
			"late answer": func(t *rapid.T) {
				if len(w.storeTables) > 0 {
					old := rapid.SampledFrom(w.storeTables).Draw(t, "old")
					w.step(anyProcess.Draw(t, "i"), tablesync.Fetched{Table: old, From: w.processes[anyProcess.Draw(t, "j")].addr})
				}
			},
			"": func(*rapid.T) {
				for _, p := range w.processes {
					for k, x := range p.applied {
						g.Expect(k == 0 || x.Revision > p.applied[k-1].Revision).To(BeTrue(), "reverted")
						g.Expect(x).To(Equal(w.storeTables[x.Revision/10-1]))
						g.Expect(x.Rows).NotTo(BeEmpty(), "invalid table in force")
					}
				}
			},
		})
		w.storeUp, w.partition = true, 0
		w.acceptTable(false)
		w.advanceSecond()
		w.advanceSecond()
		for _, p := range w.processes {
			x, _ := p.Table()
			g.Expect(x).To(Equal(w.newestValidTable()))
			g.Expect(p.Age(w.now)).To(BeNumerically("<=", 2*time.Second))
		}
	})
}

func TestStoreOutageAndInvalidTable(t *testing.T) {
	g := NewWithT(t)
	w := newCluster(6)
	w.storeUp = false
	for range 30 {
		w.advanceSecond()
	}
	for _, p := range w.processes {
		g.Expect(p.State()).To(Equal(tablesync.NoTable))
		g.Expect(p.reads).To(BeNumerically("<", 6), "store reads must back off")
	}
	w.storeUp = true
	w.acceptTable(false)
	w.advanceSecond()
	// A process that starts during a store outage gets the table from its peers, with the time of
	// the last confirmation by the store.
	w.storeUp = false
	for range 100 {
		w.advanceSecond()
	}
	w.processes[5] = newProcess(5)
	w.advanceSecond()
	g.Expect(w.processes[5].State()).To(Equal(tablesync.InForce))
	for _, p := range w.processes {
		g.Expect(p.Age(w.now)).To(BeNumerically("~", 101*time.Second, time.Second))
	}
	// Each process refuses an invalid table at most once and keeps the old table.
	w.storeUp = true
	w.acceptTable(true)
	for range 10 {
		w.advanceSecond()
	}
	for i, p := range w.processes {
		g.Expect(p.applied).To(HaveLen(1))
		g.Expect(p.refused).To(BeNumerically("<=", 1))
		g.Expect(i >= tablesync.WatchersPerDataCentre || p.refused == 1).To(BeTrue())
	}
	g.Expect(w.processes[0].Age(w.now)).To(BeNumerically(">", 100*time.Second))
}

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
	errBad = errors.New("bad")
	epoch  = time.Unix(1_700_000_000, 0)
)

// A process is one machine with what it did.
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
			return errBad
		}
		return nil
	}
	return p
}

// A world is a store and the processes, of which the first two watch.
type world struct {
	now   time.Time
	store []table.Table // accepted tables, in order
	up    bool
	ps    []*process
	cut   int // processes before cut reach only each other
}

func (w *world) accept(bad bool) {
	t := table.Table{Revision: table.Revision(10*len(w.store) + 10)}
	if !bad {
		t.Rows = []table.Row{{Kind: fleet.Kind(rune('a' + len(w.store)%26)), Weight: float64(len(w.store))}}
	}
	w.store = append(w.store, t)
}

func (w *world) step(i int, e tablesync.Event) {
	p := w.ps[i]
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
			w.load(i)
		case tablesync.Fetch:
			w.serve(i, a.From)
		}
	}
}

func (w *world) load(i int) {
	if !w.up || i < w.cut {
		w.step(i, tablesync.StoreUnreachable{})
		return
	}
	t := table.Table{}
	if len(w.store) > 0 {
		t = w.store[len(w.store)-1]
	}
	w.step(i, tablesync.StoreAnswered{Table: t})
}

func (w *world) serve(i int, from netip.AddrPort) {
	for j, q := range w.ps {
		t, ok := q.Table()
		if q.addr == from && ok && (i < w.cut) == (j < w.cut) {
			w.step(i, tablesync.Fetched{Table: t, From: from})
			return
		}
	}
	w.step(i, tablesync.FetchFailed{From: from})
}

// hear lets process i hear of j.
func (w *world) hear(i, j int) {
	q := w.ps[j]
	if t, ok := q.Table(); ok && (i < w.cut) == (j < w.cut) {
		w.step(i, tablesync.PeerAnnounced{Revision: t.Revision, From: q.addr, Token: q.token})
	}
}

// second lets a second pass, in which everyone hears of everyone and the watchers of the store.
func (w *world) second() {
	w.now = w.now.Add(time.Second)
	for i, p := range w.ps {
		if p.Watching() {
			w.load(i)
		}
		for j := range w.ps {
			w.hear(i, j)
		}
		w.step(i, tablesync.Tick{})
	}
}

func newWorld(n int) *world {
	w := &world{now: epoch, up: true}
	for i := range n {
		w.ps = append(w.ps, newProcess(i))
		w.step(i, tablesync.WatcherChanged{Watcher: i < tablesync.WatchersPerDataCentre})
	}
	return w
}

// last returns the newest good table that the store accepted.
func (w *world) last() table.Table {
	for i := len(w.store) - 1; i >= 0; i-- {
		if len(w.store[i].Rows) > 0 {
			return w.store[i]
		}
	}
	return table.Table{}
}

func TestTableNeverRevertsAndReachesAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w := newWorld(5)
		one := rapid.IntRange(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) { w.accept(rapid.IntRange(0, 3).Draw(t, "bad") == 0) },
			"store":  func(t *rapid.T) { w.up = rapid.Bool().Draw(t, "up") },
			"cut":    func(t *rapid.T) { w.cut = one.Draw(t, "cut") },
			"load":   func(t *rapid.T) { w.load(one.Draw(t, "i")) },
			"hear":   func(t *rapid.T) { w.hear(one.Draw(t, "i"), one.Draw(t, "j")) },
			"second": func(*rapid.T) { w.second() },
			"restart": func(t *rapid.T) {
				i := one.Draw(t, "i")
				w.ps[i] = newProcess(i)
				w.step(i, tablesync.WatcherChanged{Watcher: i < tablesync.WatchersPerDataCentre})
			},
			"late answer": func(t *rapid.T) {
				if len(w.store) > 0 {
					old := rapid.SampledFrom(w.store).Draw(t, "old")
					w.step(one.Draw(t, "i"), tablesync.Fetched{Table: old, From: w.ps[one.Draw(t, "j")].addr})
				}
			},
			"": func(*rapid.T) {
				for _, p := range w.ps {
					for k, x := range p.applied {
						g.Expect(k == 0 || x.Revision > p.applied[k-1].Revision).To(BeTrue(), "reverted")
						g.Expect(x).To(Equal(w.store[x.Revision/10-1]))
						g.Expect(x.Rows).NotTo(BeEmpty(), "a bad table is in force")
					}
				}
			},
		})
		w.up, w.cut = true, 0
		w.accept(false)
		w.second()
		w.second()
		for _, p := range w.ps {
			x, _ := p.Table()
			g.Expect(x).To(Equal(w.last()))
			g.Expect(p.Age(w.now)).To(BeNumerically("<=", 2*time.Second))
		}
	})
}

func TestStoreOutageAndInvalidTable(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6)
	w.up = false
	for range 30 {
		w.second()
	}
	for _, p := range w.ps {
		g.Expect(p.State()).To(Equal(tablesync.NoTable))
		g.Expect(p.reads).To(BeNumerically("<", 6), "reads back off")
	}
	w.up = true
	w.accept(false)
	w.second()
	// A process that starts in an outage gets the table from its peers, and its true age.
	w.up = false
	for range 100 {
		w.second()
	}
	w.ps[5] = newProcess(5)
	w.second()
	g.Expect(w.ps[5].State()).To(Equal(tablesync.InForce))
	for _, p := range w.ps {
		g.Expect(p.Age(w.now)).To(BeNumerically("~", 101*time.Second, time.Second))
	}
	// A bad edit is refused once by each, and the old table stays.
	w.up = true
	w.accept(true)
	for range 10 {
		w.second()
	}
	for i, p := range w.ps {
		g.Expect(p.applied).To(HaveLen(1))
		g.Expect(p.refused).To(BeNumerically("<=", 1))
		g.Expect(i >= tablesync.WatchersPerDataCentre || p.refused == 1).To(BeTrue())
	}
	g.Expect(w.ps[0].Age(w.now)).To(BeNumerically(">", 100*time.Second))
}

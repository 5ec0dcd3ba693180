package ownership_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/consul"
	"github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/ownership"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const shardCount = 16

// A cluster runs the managers of several processes over one store.
type cluster struct {
	server     standin.Server
	mu         sync.Mutex
	processes  []fleet.ProcessIncarnation
	candidates [][]fleet.ProcessIncarnation
	owners     [shardCount]map[fleet.ID]bool
	stops      map[fleet.ID]context.CancelFunc
	running    sync.WaitGroup
	// releaseBlocked makes MayRelease return false.
	releaseBlocked bool
}

// setProcesses sets the processes that all managers know of.
func (s *cluster) setProcesses(processes []fleet.ProcessIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes, s.candidates = processes, ownership.RankCandidates(processes, shardCount)
}

// A processTransport reaches the store until the context of its process ends.
type processTransport struct {
	*standin.Server
	process context.Context
}

func (c processTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if c.process.Err() != nil {
		return nil, c.process.Err()
	}
	return c.Server.RoundTrip(r)
}

// startManager starts the manager of process l and returns a function that cuts
// the process off from the store, as a crash does.
func (s *cluster) startManager(ctx context.Context, l fleet.ProcessIncarnation) context.CancelFunc {
	process, kill := context.WithCancel(context.Background())
	c := &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: processTransport{&s.server, process}}}
	setOwned := func(owned bool) func(int) {
		return func(n int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.owners[n] == nil {
				s.owners[n] = map[fleet.ID]bool{}
			}
			s.owners[n][l.ID] = owned
		}
	}
	m := &ownership.Manager{
		Store: c, Process: l, Shards: shardCount,
		Lease: &store.Lease{Store: c, TTL: 15 * time.Second},
		Candidates: func(n int) []fleet.ProcessIncarnation {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.candidates[n]
		},
		OnGain: setOwned(true), OnLoss: setOwned(false),
		MayRelease: func(int) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return !s.releaseBlocked
		},
	}
	x, stop := context.WithCancel(ctx)
	s.running.Go(func() { _ = m.Run(x) })
	s.mu.Lock()
	s.stops[l.ID] = stop
	s.mu.Unlock()
	return kill
}

// countOwned returns the most shards that any process owns, and how many shards
// have exactly one owner.
func (s *cluster) countOwned() (most int, withOneOwner int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[fleet.ID]int{}
	for _, o := range s.owners {
		n := 0
		for id, owned := range o {
			if owned {
				n++
				counts[id]++
				most = max(most, counts[id])
			}
		}
		if n == 1 {
			withOneOwner++
		}
	}
	return most, withOneOwner
}

func newProcesses(n int) (processes []fleet.ProcessIncarnation) {
	for i := range n {
		processes = append(processes, fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint("agent", i)), Incarnation: 1})
	}
	return processes
}

func TestEachShardHasOneOwner(t *testing.T) {
	for _, n := range []int{3, 10, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			s := &cluster{stops: map[fleet.ID]context.CancelFunc{}}
			all := newProcesses(n)
			s.setProcesses(all)
			kills := map[fleet.ID]context.CancelFunc{}
			for _, l := range all {
				kills[l.ID] = s.startManager(ctx, l)
			}
			time.Sleep(10 * time.Second)
			before := s.server.Counts()
			time.Sleep(100 * time.Second)
			after := s.server.Counts()
			most, withOneOwner := s.countOwned()
			g.Expect(withOneOwner).To(Equal(shardCount))
			g.Expect(most).To(BeNumerically("<=", (shardCount+n-1)/n), "shards are distributed evenly")
			calls := float64(after.Writes+after.Reads-before.Writes-before.Reads) / 100
			t.Logf("%d candidates: %.1f reads/s %.1f writes/s", n,
				float64(after.Reads-before.Reads)/100, float64(after.Writes-before.Writes)/100)
			g.Expect(calls).To(BeNumerically("<", 16), "calls per second do not grow with the fleet")

			// The first candidate of shard 0 crashes: its lease lapses, and another process takes over.
			dead := s.candidates[0][0]
			s.stops[dead.ID]()
			kills[dead.ID]()
			synctest.Wait()
			s.setProcesses(without(all, dead))
			time.Sleep(25 * time.Second)
			_, withOneOwner = s.countOwned()
			g.Expect(withOneOwner).To(Equal(shardCount))

			// It restarts and gets its shards back; each shard has one owner again.
			s.setProcesses(all)
			kills[dead.ID] = s.startManager(ctx, dead)
			time.Sleep(2 * time.Minute)
			_, withOneOwner = s.countOwned()
			g.Expect(withOneOwner).To(Equal(shardCount))
			g.Expect(s.owners[0][dead.ID]).To(BeTrue())
			cancel()
			s.running.Wait()
			for _, k := range kills {
				k()
			}
		})
	}
}

func without(processes []fleet.ProcessIncarnation, d fleet.ProcessIncarnation) (out []fleet.ProcessIncarnation) {
	for _, l := range processes {
		if l != d {
			out = append(out, l)
		}
	}
	return out
}

func TestEachShardHasOneOwnerAfterOutage(t *testing.T) {
	for _, f := range []standin.Fault{{Mode: standin.Down}, {Mode: standin.LoseAnswers}, {Mode: standin.Slow, Delay: "3s"}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			s := &cluster{stops: map[fleet.ID]context.CancelFunc{}}
			s.setProcesses(newProcesses(6))
			for _, l := range newProcesses(6) {
				defer s.startManager(ctx, l)()
			}
			time.Sleep(10 * time.Second)
			g.Expect(s.server.SetFault(f)).To(Succeed())
			time.Sleep(time.Minute)
			g.Expect(s.server.SetFault(standin.Fault{})).To(Succeed())
			time.Sleep(time.Minute)
			_, withOneOwner := s.countOwned()
			g.Expect(withOneOwner).To(Equal(shardCount), string(f.Mode))
			cancel()
			s.running.Wait()
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: &standin.Server{}}}
		l, _ := c.Grant(context.Background(), consul.MinTTL)
		_, _ = c.Acquire(context.Background(), "shard/0/owner", b, l)
		_, _ = ownership.Locate(context.Background(), c, 0)
	})
}

// TestOwnersAwaitingPredecessorsKeepShards checks that an owner that still waits for its
// predecessors keeps its shards when a rebalance is due. If it released them, the next
// owner would start that wait again: the tasks of a host that died together with an owner
// then waited for 142 s instead of 81 s.
func TestOwnersAwaitingPredecessorsKeepShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &cluster{stops: map[fleet.ID]context.CancelFunc{}}
		processes := newProcesses(2)
		s.setProcesses(processes[:1])
		ctx, stop := context.WithCancel(context.Background())
		s.startManager(ctx, processes[0])
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		s.releaseBlocked = true
		s.mu.Unlock()
		s.setProcesses(processes)
		s.startManager(ctx, processes[1])
		time.Sleep(2 * ownership.DefaultRebalanceDelay)
		most, withOneOwner := s.countOwned()
		g.Expect(withOneOwner).To(Equal(shardCount))
		g.Expect(most).To(Equal(shardCount), "all shards are kept")
		s.mu.Lock()
		s.releaseBlocked = false
		s.mu.Unlock()
		time.Sleep(20 * time.Second)
		most, withOneOwner = s.countOwned()
		g.Expect(withOneOwner).To(Equal(shardCount))
		g.Expect(most).To(Equal(shardCount/2), "shards are distributed evenly")
		stop()
		s.running.Wait()
	})
}

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

const shards = 16

// A site is some managers over one store.
type site struct {
	server standin.Server
	mu     sync.Mutex
	lives  []fleet.ProcessIncarnation
	ranks  [][]fleet.ProcessIncarnation
	owners [shards]map[fleet.ID]bool
	stops  map[fleet.ID]context.CancelFunc
	wait   sync.WaitGroup
	// unsettled owners may not cede for the balance.
	unsettled bool
}

// set makes lives those that all managers know of.
func (s *site) set(lives []fleet.ProcessIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives, s.ranks = lives, ownership.RankCandidates(lives, shards)
}

// cut is a transport that fails once its process is dead.
type cut struct {
	*standin.Server
	dead context.Context
}

func (c cut) RoundTrip(r *http.Request) (*http.Response, error) {
	if c.dead.Err() != nil {
		return nil, c.dead.Err()
	}
	return c.Server.RoundTrip(r)
}

// run starts the manager of l and returns what ends it without notice.
func (s *site) run(ctx context.Context, l fleet.ProcessIncarnation) context.CancelFunc {
	dead, kill := context.WithCancel(context.Background())
	c := &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: cut{&s.server, dead}}}
	mark := func(owned bool) func(int) {
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
		Store: c, Process: l, Shards: shards,
		Lease: &store.Lease{Store: c, TTL: 15 * time.Second},
		Candidates: func(n int) []fleet.ProcessIncarnation {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.ranks[n]
		},
		OnGain: mark(true), OnLoss: mark(false),
		MayRelease: func(int) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return !s.unsettled
		},
	}
	x, stop := context.WithCancel(ctx)
	s.wait.Go(func() { _ = m.Run(x) })
	s.mu.Lock()
	s.stops[l.ID] = stop
	s.mu.Unlock()
	return kill
}

// owned returns how many shards each process owns, and how many shards have one owner.
func (s *site) owned() (most int, whole int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	by := map[fleet.ID]int{}
	for _, o := range s.owners {
		n := 0
		for id, yes := range o {
			if yes {
				n++
				by[id]++
				most = max(most, by[id])
			}
		}
		if n == 1 {
			whole++
		}
	}
	return most, whole
}

func lives(n int) (ls []fleet.ProcessIncarnation) {
	for i := range n {
		ls = append(ls, fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint("agent", i)), Incarnation: 1})
	}
	return ls
}

func TestEachShardHasOneOwner(t *testing.T) {
	for _, n := range []int{3, 10, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			s := &site{stops: map[fleet.ID]context.CancelFunc{}}
			all := lives(n)
			s.set(all)
			kills := map[fleet.ID]context.CancelFunc{}
			for _, l := range all {
				kills[l.ID] = s.run(ctx, l)
			}
			time.Sleep(10 * time.Second)
			before := s.server.Counts()
			time.Sleep(100 * time.Second)
			after := s.server.Counts()
			most, whole := s.owned()
			g.Expect(whole).To(Equal(shards))
			g.Expect(most).To(BeNumerically("<=", (shards+n-1)/n), "shards are spread evenly")
			calls := float64(after.Writes+after.Reads-before.Writes-before.Reads) / 100
			t.Logf("%d candidates: %.1f reads/s %.1f writes/s", n,
				float64(after.Reads-before.Reads)/100, float64(after.Writes-before.Writes)/100)
			g.Expect(calls).To(BeNumerically("<", 16), "calls a second do not grow with the fleet")

			// The first owner of shard 0 dies without notice: its lease lapses, another takes over.
			dead := s.ranks[0][0]
			s.stops[dead.ID]()
			kills[dead.ID]()
			synctest.Wait()
			s.set(without(all, dead))
			time.Sleep(25 * time.Second)
			_, whole = s.owned()
			g.Expect(whole).To(Equal(shards))

			// It comes back and gets its shards again, one owner at a time.
			s.set(all)
			kills[dead.ID] = s.run(ctx, dead)
			time.Sleep(2 * time.Minute)
			_, whole = s.owned()
			g.Expect(whole).To(Equal(shards))
			g.Expect(s.owners[0][dead.ID]).To(BeTrue())
			cancel()
			s.wait.Wait()
			for _, k := range kills {
				k()
			}
		})
	}
}

func without(ls []fleet.ProcessIncarnation, d fleet.ProcessIncarnation) (out []fleet.ProcessIncarnation) {
	for _, l := range ls {
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
			s := &site{stops: map[fleet.ID]context.CancelFunc{}}
			s.set(lives(6))
			for _, l := range lives(6) {
				defer s.run(ctx, l)()
			}
			time.Sleep(10 * time.Second)
			g.Expect(s.server.Set(f)).To(Succeed())
			time.Sleep(time.Minute)
			g.Expect(s.server.Set(standin.Fault{})).To(Succeed())
			time.Sleep(time.Minute)
			_, whole := s.owned()
			g.Expect(whole).To(Equal(shards), string(f.Mode))
			cancel()
			s.wait.Wait()
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

// An owner that still waits for the one before it doesn't cede for the balance,
// as the next one would wait anew (seen in TestJobsGoOnAfterAnOwnersDeath: the
// tasks of a dead host waited for 142 s instead of 81 s).
func TestOwnersAwaitingPredecessorsKeepShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &site{stops: map[fleet.ID]context.CancelFunc{}}
		ls := lives(2)
		s.set(ls[:1])
		ctx, stop := context.WithCancel(context.Background())
		s.run(ctx, ls[0])
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		s.unsettled = true
		s.mu.Unlock()
		s.set(ls)
		s.run(ctx, ls[1])
		time.Sleep(2 * ownership.DefaultRebalanceDelay)
		most, whole := s.owned()
		g.Expect(whole).To(Equal(shards))
		g.Expect(most).To(Equal(shards), "all are kept")
		s.mu.Lock()
		s.unsettled = false
		s.mu.Unlock()
		time.Sleep(20 * time.Second)
		most, whole = s.owned()
		g.Expect(whole).To(Equal(shards))
		g.Expect(most).To(Equal(shards/2), "an even share")
		stop()
		s.wait.Wait()
	})
}

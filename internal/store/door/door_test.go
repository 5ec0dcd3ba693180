package door_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/consul"
	"github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/internal/store/door"
)

// newStore returns a limited store in front of a stand-in.
func newStore(s *standin.Server) *door.LimitedStore {
	return &door.LimitedStore{
		Store:   &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: s}},
		Budget:  door.Budget{Writes: 10, Reads: 20, Leases: 2},
		Timeout: time.Second, MinOpenTime: 4 * time.Second, Metrics: metrics.NewRegistry(),
	}
}

// TestBudgetLimitsEachCallType guards against excess writes and reads that use up the budget of the
// leases, which would make a lease lapse.
func TestBudgetLimitsEachCallType(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		d := newStore(s)
		ctx := context.Background()
		refused := 0
		start := time.Now()
		for time.Since(start) < 10*time.Second {
			for range 50 {
				go func() { _, _, _ = d.CAS(ctx, "k", nil, 0) }()
				go func() { _, _ = d.Get(ctx, "k") }()
			}
			synctest.Wait()
			if !errors.Is(d.Renew(ctx, "none"), store.ErrLeaseLapsed) {
				refused++
			}
			time.Sleep(time.Second)
		}
		g.Expect(refused).To(BeZero(), "leases have their own budget")
		time.Sleep(5 * time.Second)
		c := s.Counts()
		g.Expect(c.Writes).To(BeNumerically("<=", 10*15+10+10))
		g.Expect(c.Reads).To(BeNumerically("<=", 20*15+20))
		g.Expect(d.CallCount(door.CallRead)).To(BeEquivalentTo(c.Reads))
	})
}

// TestRecoveryAvoidsThunderingHerd guards against a burst of calls after an outage: processes whose
// breakers opened at the same time must probe the store at different times, each with one call first.
func TestRecoveryAvoidsThunderingHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		ctx, cancel := context.WithCancel(context.Background())
		g.Expect(s.SetFault(standin.Fault{Mode: standin.Down})).To(Succeed())
		var stores []*door.LimitedStore
		for range 100 {
			d := newStore(s)
			stores = append(stores, d)
			go func() {
				for steady.Sleep(ctx, 50*time.Millisecond) {
					_, _, _ = d.CAS(ctx, "k", nil, 0)
				}
			}()
		}
		time.Sleep(time.Minute)
		_, _, err := stores[0].CAS(ctx, "k", nil, 0)
		g.Expect(err).To(MatchError(store.ErrUnavailable))
		g.Expect(stores[0].LastContact()).To(BeZero())
		most, last := 0, s.Counts().Writes
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			now := s.Counts().Writes
			most, last = max(most, now-last), now
		}
		t.Logf("during the outage, at most %d of 100 processes call within 100 ms", most)
		g.Expect(most).To(BeNumerically("<", 20))
		g.Expect(s.SetFault(standin.Fault{})).To(Succeed())
		up := time.Now()
		time.Sleep(9 * time.Second)
		for _, d := range stores {
			g.Expect(d.LastContact()).To(BeTemporally(">", up), "all recover within twice the minimum open time")
		}
		cancel()
	})
}

// TestTimeoutErrorOfReadsAndWrites guards against a timed-out write being reported as without effect: a
// read that times out is unavailable, but the outcome of a write is unknown.
func TestTimeoutErrorOfReadsAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		d := newStore(s)
		ctx := context.Background()
		g.Expect(s.SetFault(standin.Fault{Mode: standin.Slow, Delay: "3s"})).To(Succeed())
		_, err := d.Get(ctx, "k")
		g.Expect(err).To(MatchError(store.ErrUnavailable))
		_, _, err = d.CAS(ctx, "k", nil, 0)
		g.Expect(err).To(MatchError(store.ErrUnknown))
		time.Sleep(10 * time.Second)
		g.Expect(s.SetFault(standin.Fault{})).To(Succeed())
		_, err = d.Get(ctx, "k")
		g.Expect(err).NotTo(HaveOccurred(), "the write timed out and took effect")
	})
}

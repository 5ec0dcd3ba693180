package admit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
	"pgregory.net/rapid"
)

func TestShareFactorsAddUpToFleetShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]Host, rapid.IntRange(1, 20).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = Host{rapid.IntRange(0, 64).Draw(t, "connections"), rapid.SliceOfNDistinct(rapid.SampledFrom(kinds), 0, 4, rapid.ID).Draw(t, "kinds")}
		}
		cut := rapid.IntRange(0, len(hosts)).Draw(t, "cut")
		for _, k := range kinds {
			placed := placedShare(hosts, k)
			g := gomega.NewWithT(t)
			g.Expect(placed).To(gomega.Or(gomega.BeZero(), gomega.BeNumerically("~", 1, 1e-9)), "all hosts reach each other")
			total, a, b := totalConnections(hosts), totalConnections(hosts[:cut]), totalConnections(hosts[cut:])
			both := float64(a)*placedShare(hosts[:cut], k) + float64(b)*placedShare(hosts[cut:], k)
			g.Expect(both).To(gomega.BeNumerically("<=", float64(total)+1e-6), "the hosts are partitioned into two groups")
		}
	})
}

// placedShare returns the sum of the local shares of k divided by its share of the given hosts.
func placedShare(hosts []Host, k fleet.Kind) (sum float64) {
	for _, s := range ShareFactors(hosts, nil) {
		for _, h := range hosts {
			for _, o := range h.Kinds {
				if o == k && s.Kind == k {
					sum += s.Factor * float64(h.Connections) / float64(totalConnections(hosts))
				}
			}
		}
	}
	return sum
}

func totalConnections(hosts []Host) (n int) {
	for _, h := range hosts {
		n += h.Connections
	}
	return n
}

// newSingleKindController returns a controller with a fixed limit and one kind, whose service
// time is known.
func newSingleKindController(permits int, service time.Duration) (*controller, time.Time) {
	c := NewWith(&Fair{}, Fixed{}).(*controller)
	now := time.Unix(0, 0)
	c.SetTable(now, []table.Row{{Kind: "gust", Class: table.ClassRequest, Weight: 1, Floor: 0.5, Ceiling: 1}}, nil)
	c.SetCapacity(now, permits, nil)
	for i := range 200 {
		c.Offer(now, Request{RequestID(i), "gust", now.Add(time.Hour)}, nil)
		c.Done(now, RequestID(i), service, true, nil)
	}
	return c, now
}

func TestRequestStartsAfterRetryAfter(t *testing.T) {
	const service = 10 * time.Millisecond
	for _, budget := range []time.Duration{15 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond, 10 * time.Second} {
		g := gomega.NewWithT(t)
		c, now := newSingleKindController(4, service)
		var running []RequestID
		refused := time.Duration(-1)
		for k := RequestID(1000); refused < 0; k++ {
			for _, a := range c.Offer(now, Request{k, "gust", now.Add(budget)}, nil) {
				if a.Decision == Refuse {
					refused = a.RetryAfter
					g.Expect(a.Reason).To(gomega.BeElementOf(ReasonQueue, ReasonDeadline))
					continue
				}
				running = append(running, a.RequestID)
			}
		}
		g.Expect(refused).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 2*time.Second)))
		for end := now.Add(refused); now.Before(end); {
			now = now.Add(min(service, end.Sub(now)))
			done := running
			running = nil
			for _, k := range done {
				for _, a := range c.Done(now, k, service, true, nil) {
					running = append(running, a.RequestID)
				}
			}
		}
		for _, a := range c.Offer(now, Request{1, "gust", now.Add(budget)}, nil) {
			g.Expect(a.Decision).To(gomega.Equal(Start), "budget %v: %v", budget, a)
		}
	}
}

func TestProbeReadmitsKindAfterSlowRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c, now := newSingleKindController(4, 10*time.Second)
	offer := func(k RequestID) []Action { return c.Offer(now, Request{k, "gust", now.Add(time.Second)}, nil) }
	g.Expect(offer(1000)).To(gomega.Equal([]Action{{Decision: Start, RequestID: 1000}}))
	g.Expect(offer(1001)).To(gomega.Equal([]Action{{Decision: Refuse, RequestID: 1001, Reason: ReasonDeadline, RetryAfter: probeInterval}}))
	c.Done(now, 1000, 5*time.Millisecond, true, nil)
	g.Expect(offer(1002)).To(gomega.Equal([]Action{{Decision: Start, RequestID: 1002}}))
}

func TestLoadReportsHeadroom(t *testing.T) {
	g := gomega.NewWithT(t)
	c, now := newSingleKindController(4, 10*time.Millisecond)
	for k := range RequestID(3) {
		c.Offer(now, Request{1000 + k, "gust", now.Add(time.Second)}, nil)
	}
	g.Expect(c.Load(now, nil)).To(gomega.Equal([]Load{{Kind: "gust", InFlight: 3, Limit: 4, Headroom: 1}}))
	for k := range RequestID(3) {
		c.Offer(now, Request{2000 + k, "gust", now.Add(time.Second)}, nil)
	}
	g.Expect(c.Load(now, nil)).To(gomega.Equal([]Load{{Kind: "gust", InFlight: 4, Queued: 2, Delay: 7500 * time.Microsecond, Limit: 4}}))
	g.Expect(c.Drain(now, nil)).To(gomega.HaveLen(2))
	g.Expect(c.Load(now, nil)[0].Limit).To(gomega.BeZero())
}

func TestStartIsChargedItsLatency(t *testing.T) {
	g := gomega.NewWithT(t)
	c, now := newSingleKindController(4, 10*time.Millisecond)
	for k := range RequestID(3) {
		c.Offer(now, Request{1000 + k, "gust", now.Add(time.Second)}, nil)
	}
	c.Done(now, 1002, time.Millisecond, false, nil)
	g.Expect(c.kinds["gust"].virtualTime).To(gomega.BeNumerically("~", 0.001, 1e-6))
}

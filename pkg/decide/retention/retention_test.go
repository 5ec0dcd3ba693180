package retention_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/retention"
)

func init() {
	_ = flag.Set("rapid.seed", "13")
	_ = flag.Set("rapid.checks", "300")
}

// What entries accept between reports, and without any, must stay within the limit, also when entries and the
// scheduler start anew. The same inputs give the same decisions.
func TestEntriesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 10_000
		n := rapid.IntRange(1, 6).Draw(rt, "entries")
		ledgers, replayed := make([]retention.Ledger, n), make([]retention.Ledger, n)
		for i := range ledgers {
			ledgers[i].Limit, replayed[i].Limit = limit, limit
		}
		var m, stored = retention.Meter{}, int64(0)
		// unreported are the bytes that were stored since the last report was made.
		unreported, pending, reports := int64(0), int64(0), 0
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(500 * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				// A report is made, and arrives before the next one.
				m.Observe(now, stored, stored)
				r := m.Report(limit, n)
				for i := range ledgers {
					ledgers[i].Update(*r)
					replayed[i].Update(*r)
				}
				pending, unreported = unreported, 0
				reports++
			case 1:
				stored -= rapid.Int64Range(0, stored).Draw(rt, "ended")
			case 2:
				if reports == 0 {
					i := rapid.IntRange(0, n-1).Draw(rt, "restarted")
					if stored == 0 {
						ledgers[i], replayed[i] = retention.Ledger{Limit: limit}, retention.Ledger{Limit: limit}
					}
				}
			default:
				i, bytes := rapid.IntRange(0, n-1).Draw(rt, "entry"), rapid.Int64Range(1, 1000).Draw(rt, "bytes")
				after, ok := ledgers[i].Reserve(bytes)
				again, sameOK := replayed[i].Reserve(bytes)
				if after != again || ok != sameOK {
					rt.Fatalf("%v, %v differs from %v, %v", after, ok, again, sameOK)
				}
				if ok {
					stored += bytes
					unreported += bytes
				} else if after < time.Second || after > 30*time.Second {
					rt.Fatalf("Retry-After %v", after)
				}
			}
			if stored > limit {
				rt.Fatalf("%d bytes are stored, %d since the last reports", stored, pending+unreported)
			}
		}
	})
}

// A refused caller returns when as much as its job needs is expected to be free.
func TestRetryAfterFollowsWhatIsFreed(t *testing.T) {
	g := NewWithT(t)
	var m retention.Meter
	now := time.Unix(0, 0)
	held, added := int64(100_000), int64(100_000)
	for range 100 {
		// 1,000 bytes a second come and go.
		m.Observe(now, held, added)
		now, added = now.Add(time.Second), added+1000
	}
	l := retention.Ledger{Limit: 100_000}
	l.Update(*m.Report(100_000, 1))
	after, ok := l.Reserve(833)
	g.Expect(ok).To(BeFalse())
	g.Expect(after).To(BeNumerically("~", 5*time.Second, time.Second))
	after, ok = l.Reserve(1_000_000)
	g.Expect(ok).To(BeFalse())
	g.Expect(after).To(Equal(30 * time.Second))
	l.Update(retention.Report{Held: 20_000, Limit: 100_000, Entries: 16})
	_, ok = l.Reserve(10_000)
	g.Expect(ok).To(BeTrue(), "a part of what is left")
	_, ok = l.Reserve(100)
	g.Expect(ok).To(BeFalse(), "its share is used up")
	l.Update(retention.Report{Held: 80_000, Limit: 100_000, Entries: 1})
	l.Update(retention.Report{Held: 80_000, Limit: 100_000, Entries: 1})
	_, ok = l.Reserve(5000)
	g.Expect(ok).To(BeFalse(), "large jobs leave room for small ones")
	_, ok = l.Reserve(500)
	g.Expect(ok).To(BeTrue())
	none := retention.Ledger{}
	_, ok = none.Reserve(1 << 40)
	g.Expect(ok).To(BeTrue(), "without a limit")
}

package place

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const shareCeiling = 11

// A shareCluster is a set of shards that share the ceiling of one kind over a lossy network.
type shareCluster struct {
	now    time.Time
	shards []*Shares
	used   []int
	queued []int
	epoch  uint64
}

func newShareCluster(n int) *shareCluster {
	w := &shareCluster{now: time.Unix(1e6, 0), shards: make([]*Shares, n), used: make([]int, n), queued: make([]int, n)}
	for i := range n {
		w.replace(i)
	}
	return w
}

// replace gives a shard a new owner, which knows only its running tasks.
func (w *shareCluster) replace(i int) {
	w.epoch++
	w.shards[i] = &Shares{Shard: i, Shards: len(w.shards), Epoch: w.epoch}
}

// round sends a shard's report to the others; lost returns whether the next message is lost.
func (w *shareCluster) round(i int, lost func() bool) {
	s := w.shards[i]
	u := Usage{ShareName: ShareName{Kind: "a"}, Used: w.used[i], Demand: w.used[i] + w.queued[i], Ceiling: shareCeiling, Floor: 5}
	r := s.BeginRound(w.now, []Usage{u})
	for j, o := range w.shards {
		if j == i || o.peers == nil || lost() {
			continue
		}
		o.HandleReport(w.now, r)
		if !lost() {
			s.Acknowledge(w.now, j, o.Epoch, r.Round)
		}
	}
}

func (w *shareCluster) start(i int) {
	for w.queued[i] > 0 && w.used[i] < w.shards[i].Ceiling("a") {
		w.queued[i]--
		w.used[i]++
	}
}

func (w *shareCluster) totalUsed() int {
	n := 0
	for _, u := range w.used {
		n += u
	}
	return n
}

// TestSharesStayWithinCeiling changes demand, loses messages and replaces owners at
// random. The ceiling holds at every start, and all of it is used after the faults end.
func TestSharesStayWithinCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "shards")
		w := newShareCluster(n)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "shard")
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0:
				w.queued[i] += rapid.IntRange(1, 30).Draw(t, "more")
			case 1:
				w.used[i] -= rapid.IntRange(0, w.used[i]).Draw(t, "end")
			case 2:
				w.queued[i] = 0
			case 3:
				w.replace(i)
			default:
				w.round(i, func() bool { return rapid.IntRange(0, 4).Draw(t, "lost") == 0 })
			}
			// At most 80 steps of 50 ms stay within peerAckTimeout of any last contact.
			w.now = w.now.Add(50 * time.Millisecond)
			w.start(i)
			if w.totalUsed() > shareCeiling {
				t.Fatalf("shards use %v, more than %d", w.used, shareCeiling)
			}
		}
		w.queued[0] += 2 * shareCeiling
		for range 6 {
			w.now = w.now.Add(time.Second)
			for i := range n {
				w.round(i, func() bool { return false })
			}
			for i := range n {
				w.start(i)
			}
		}
		if w.totalUsed() != shareCeiling {
			t.Fatalf("%v of %d slots used, %v queued", w.used, shareCeiling, w.queued)
		}
	})
}

// TestLoweredClaimNeedsNewAcknowledgement lowers a claim in a report whose answer is lost,
// and raises it again. The raised claim needs a new acknowledgement before it is used.
func TestLoweredClaimNeedsNewAcknowledgement(t *testing.T) {
	w := newShareCluster(2)
	lost := false
	answers := func() func() bool {
		n := 0
		return func() bool { n++; return lost && n == 2 }
	}
	for range 4 {
		w.queued[0] = 2 * shareCeiling
		w.round(0, answers())
		w.round(1, answers())
	}
	lost = true
	w.queued[0] = 0
	w.round(0, answers())
	w.queued[0] = 2 * shareCeiling
	w.round(0, func() bool { return true })
	if n := w.shards[0].Ceiling("a"); n > shareCeiling/2+1 {
		t.Fatalf("shard 0 may use %d slots", n)
	}
}

// TestSharesAreFairOverTime lets 16 shards compete for 11 slots with short tasks. No shard
// gets less than half of its part.
func TestSharesAreFairOverTime(t *testing.T) {
	const periods = 400
	w := newShareCluster(16)
	usedSlots := make([]int, len(w.shards))
	for range periods {
		w.now = w.now.Add(roundingPeriod)
		for range 5 {
			w.now = w.now.Add(time.Second)
			for i := range w.shards {
				w.used[i] = max(0, w.used[i]-1)
				w.queued[i] = 1 + 9*(i%2) - w.used[i]
				w.start(i)
				w.round(i, func() bool { return false })
				w.start(i)
			}
		}
		for i, u := range w.used {
			usedSlots[i] += u
		}
		if w.totalUsed() > shareCeiling {
			t.Fatalf("shards use %v, more than %d", w.used, shareCeiling)
		}
	}
	for i, n := range usedSlots {
		if want := float64(periods*shareCeiling) * float64(1+9*(i%2)) / 88; float64(n) < want/2 {
			t.Errorf("shard %d used %d slots over all periods, its part is %.0f", i, n, want)
		}
	}
	// With 11 slots used, no shard is below its part of a floor of 5. With none used, the deficit is 5.
	if w.exchangeReports(); w.floorDeficit() != 0 {
		t.Errorf("%d slots below a floor of 5 although the shards use %v", w.floorDeficit(), w.used)
	}
	clear(w.used)
	if w.exchangeReports(); w.floorDeficit() != 5 {
		t.Errorf("%d slots below a floor of 5 with none used", w.floorDeficit())
	}
}

// exchangeReports sends each shard the current reports of all others.
func (w *shareCluster) exchangeReports() {
	for range 2 {
		for i := range w.shards {
			w.round(i, func() bool { return false })
		}
	}
}

// floorDeficit returns the number of slots by which the shards are below their floors.
func (w *shareCluster) floorDeficit() int {
	n := 0
	for i, s := range w.shards {
		n += max(0, s.Floor("a")-w.used[i])
	}
	return n
}

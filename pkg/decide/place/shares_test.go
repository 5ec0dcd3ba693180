package place

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const shareCeiling = 11

// A shareWorld is some shards that use one kind over a lossy network.
type shareWorld struct {
	now    time.Time
	shards []*Shares
	used   []int
	queued []int
	epoch  uint64
}

func newShareWorld(n int) *shareWorld {
	w := &shareWorld{now: time.Unix(1e6, 0), shards: make([]*Shares, n), used: make([]int, n), queued: make([]int, n)}
	for i := range n {
		w.replace(i)
	}
	return w
}

// replace gives a shard a new owner, which knows nothing but what runs.
func (w *shareWorld) replace(i int) {
	w.epoch++
	w.shards[i] = &Shares{Shard: i, Shards: len(w.shards), Epoch: w.epoch}
}

// round lets a shard tell the others; lost answers whether one message is lost.
func (w *shareWorld) round(i int, lost func() bool) {
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

func (w *shareWorld) start(i int) {
	for w.queued[i] > 0 && w.used[i] < w.shards[i].Ceiling("a") {
		w.queued[i]--
		w.used[i]++
	}
}

func (w *shareWorld) sum() int {
	n := 0
	for _, u := range w.used {
		n += u
	}
	return n
}

// TestSharesStayWithinCeiling moves demand, loses messages and replaces owners at
// random: the ceiling holds at every start, and all of it is used once it is quiet.
func TestSharesStayWithinCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "shards")
		w := newShareWorld(n)
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
			// No shard is silent for longer than it is waited for.
			w.now = w.now.Add(50 * time.Millisecond)
			w.start(i)
			if w.sum() > shareCeiling {
				t.Fatalf("%v use more than %d", w.used, shareCeiling)
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
		if w.sum() != shareCeiling {
			t.Fatalf("%v of %d used, %v wait", w.used, shareCeiling, w.queued)
		}
	})
}

// TestLoweredClaimNeedsNewAcknowledgement raises a claim again after one that was heard
// and whose answer was lost: it must be taken anew before it is used.
func TestLoweredClaimNeedsNewAcknowledgement(t *testing.T) {
	w := newShareWorld(2)
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
		t.Fatalf("may use %d", n)
	}
}

// TestSharesAreFairOverTime lets 16 shards compete for 11 slots with short tasks.
func TestSharesAreFairOverTime(t *testing.T) {
	const turns = 400
	w := newShareWorld(16)
	got := make([]int, len(w.shards))
	for range turns {
		w.now = w.now.Add(shareTurn)
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
			got[i] += u
		}
		if w.sum() > shareCeiling {
			t.Fatalf("%v use more than %d", w.used, shareCeiling)
		}
	}
	for i, n := range got {
		if want := float64(turns*shareCeiling) * float64(1+9*(i%2)) / 88; float64(n) < want/2 {
			t.Errorf("shard %d had %d slot turns, its part is %.0f", i, n, want)
		}
	}
	// With 11 used no shard is below its part of a floor of 5; with none all of it is owed.
	if w.floors(); w.owed() != 0 {
		t.Errorf("%d of a floor of 5 are owed beside %v", w.owed(), w.used)
	}
	clear(w.used)
	if w.floors(); w.owed() != 5 {
		t.Errorf("%d of a floor of 5 are owed", w.owed())
	}
}

// floors lets each shard hear what all others use now.
func (w *shareWorld) floors() {
	for range 2 {
		for i := range w.shards {
			w.round(i, func() bool { return false })
		}
	}
}

// owed returns how many slots the shards are below their floors.
func (w *shareWorld) owed() int {
	n := 0
	for i, s := range w.shards {
		n += max(0, s.Floor("a")-w.used[i])
	}
	return n
}

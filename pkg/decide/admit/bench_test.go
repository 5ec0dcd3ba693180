package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// BenchmarkDecision measures an Offer and a Done on a saturated host with queued requests.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{2, 10, 50} {
		b.Run(fmt.Sprintf("kinds=%d", n), func(b *testing.B) {
			c := NewWith(&Fair{}, Fixed{})
			now := time.Unix(0, 0)
			names := make([]fleet.Kind, n)
			rows := make([]table.Row, n)
			for i := range rows {
				names[i] = fleet.Kind(fmt.Sprint("kind", i))
				rows[i] = table.Row{Kind: names[i], Class: table.ClassRequest, Weight: 1, Floor: table.Share(0.8 / float64(n)), Ceiling: 1, Urgent: i%5 == 0}
			}
			out := c.SetTable(now, rows, nil)
			out = c.SetCapacity(now, 64, out)
			var started []RequestID
			t, refused := RequestID(0), 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(100 * time.Microsecond)
				t++
				out = c.Offer(now, Request{t, names[i%n], now.Add(20 * time.Millisecond)}, out[:0])
				if len(started) == 64 && t%8 != 0 {
					out = c.Done(now, started[0], 5*time.Millisecond, true, out)
					started = append(started[:0], started[1:]...)
				}
				out = c.Tick(now, out)
				for _, a := range out {
					if a.Decision == Start {
						started = append(started, a.RequestID)
					} else {
						refused++
					}
				}
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

package place

import (
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// TestEvictionForUrgentTaskOfAnotherShard lets one shard fill a host that another needs: it
// evicts one task, and leaves the host to the other's urgent work.
func TestEvictionForUrgentTaskOfAnotherShard(t *testing.T) {
	now := time.Unix(1e6, 0)
	need := fleet.Resources{Processors: 1000, Slots: 1}
	busy, calm := fleetOf(1, 4, 4), fleetOf(1, 4, 4)
	for k := range 9 {
		busy.Enqueue(now, k, TaskSpec{Kind: "a", Class: table.ClassBatch, Need: need})
		busy.Next(now)
	}
	calm.Shares = &Shares{Shards: 2}
	full := Host{ID: "h0", Total: fleet.Resources{Processors: 4000, Slots: 4}}
	calm.UpdateHost(full)
	calm.Shares.BeginRound(now, calm.Usages())
	calm.Shares.HandleReport(now, ShareReport{Shard: 1, Epoch: 1, Round: 1, Shares: []Share{{ShareName: ShareName{Kind: "a"}, Used: 4}}})
	calm.Enqueue(now, 0, TaskSpec{Kind: "a", Class: table.ClassBatch, Urgent: true, Need: need})
	now = now.Add(time.Second)
	calls, _ := calm.EvictionRequests(now)
	if len(calls) != 1 || calls[0].Shard != 1 {
		t.Fatalf("asks %+v", calls)
	}
	victims, on := busy.VictimsForRequest(now, calls[0])
	if len(victims) != 1 || on != "h0" {
		t.Fatalf("evicts %v on %q", victims, on)
	}
	busy.Release(victims[0])
	if k, _, ok := busy.Next(now); ok {
		t.Fatalf("%d takes the room that was lent", k)
	}
	calm.ReserveClearedHost(on)
	if _, kept := calm.EvictionRequests(now); len(kept) != 1 {
		t.Fatalf("keeps %v", kept)
	}
	full.Free = need
	calm.UpdateHost(full)
	if _, h, ok := calm.Next(now); !ok || h != on {
		t.Fatalf("urgent work starts on %q", h)
	}
}

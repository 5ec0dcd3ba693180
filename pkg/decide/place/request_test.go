package place

import (
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// TestEvictionForUrgentTaskOfAnotherShard lets one shard fill the only host while
// another has an urgent task. The first evicts one task and keeps the slot free.
func TestEvictionForUrgentTaskOfAnotherShard(t *testing.T) {
	now := time.Unix(1e6, 0)
	need := fleet.Resources{Processors: 1000, Slots: 1}
	busy, requester := newFleet(1, 4, 4), newFleet(1, 4, 4)
	for k := range 9 {
		busy.Enqueue(now, k, TaskSpec{Kind: "a", Class: table.ClassBatch, Need: need})
		busy.Next(now)
	}
	requester.Shares = &Shares{Shards: 2}
	fullHost := Host{ID: "h0", Total: fleet.Resources{Processors: 4000, Slots: 4}}
	requester.UpdateHost(fullHost)
	requester.Shares.BeginRound(now, requester.Usages())
	requester.Shares.HandleReport(now, ShareReport{Shard: 1, Epoch: 1, Round: 1, Shares: []Share{{ShareName: ShareName{Kind: "a"}, Used: 4}}})
	requester.Enqueue(now, 0, TaskSpec{Kind: "a", Class: table.ClassBatch, Urgent: true, Need: need})
	now = now.Add(time.Second)
	requests, _ := requester.EvictionRequests(now)
	if len(requests) != 1 || requests[0].Shard != 1 {
		t.Fatalf("requests are %+v", requests)
	}
	victims, host := busy.VictimsForRequest(now, requests[0])
	if len(victims) != 1 || host != "h0" {
		t.Fatalf("victims are %v on %q", victims, host)
	}
	busy.Release(victims[0])
	if k, _, ok := busy.Next(now); ok {
		t.Fatalf("task %d starts on the slot freed for the other shard", k)
	}
	requester.ReserveClearedHost(host)
	if _, reserved := requester.EvictionRequests(now); len(reserved) != 1 {
		t.Fatalf("reserves %v", reserved)
	}
	fullHost.Free = need
	requester.UpdateHost(fullHost)
	if _, h, ok := requester.Next(now); !ok || h != host {
		t.Fatalf("urgent task starts on %q", h)
	}
}

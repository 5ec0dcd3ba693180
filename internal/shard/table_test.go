package shard

import (
	"testing"
	"testing/synctest"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// TestOwnerKeepsTheNewestTable sets two tables in the wrong order.
func TestOwnerKeepsTheNewestTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1)
		defer w.close()
		w.startOwner()
		<-w.owner.Ready()
		for _, r := range []table.Revision{2, 1} {
			if err := w.owner.SetTable(t.Context(), &table.Table{Revision: r}); err != nil {
				t.Fatal(err)
			}
		}
		var got table.Revision
		if err := w.owner.runner.Query(t.Context(), func() { got = w.owner.placer.Table.Revision }); err != nil || got != 2 {
			t.Fatalf("revision %d is in force after revision 2 was set, error %v", got, err)
		}
	})
}

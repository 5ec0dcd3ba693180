package gateway

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

// Records of nearly the largest size pass a link of 10 Mbit/s within a caller's deadline: a job is
// stored, and its state read, without a scheduler.
func TestLargeRecordsPassASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &memory.Store{}
		r := &Gateway{
			Store: &memory.Link{Store: &memory.Client{Store: s}, BytesPerSecond: 10e6 / 8}, Log: eventlog.New(io.Discard, "n"),
			Send: func(link.Message) bool { return false },
		}
		defer r.Log.Close(time.Second)
		deadline := func() time.Time { return time.Now().Add(3 * time.Second) }
		j := &batch.Job{ID: "a", Queue: "q", Spec: strings.Repeat("x", 1_000_000)}
		g.Expect(r.Submit(t.Context(), deadline(), j).Outcome).To(Equal(Accepted))
		g.Expect(s.Items(dispatch.JobPrefix)).To(HaveLen(1))
		p := schedule.Progress{State: batch.Running, Tasks: []schedule.TaskProgress{{Checkpoint: strings.Repeat("x", 1_000_000)}}}
		b, err := json.Marshal(p)
		g.Expect(err).NotTo(HaveOccurred())
		j.Spec = ""
		record, err := json.Marshal(j)
		g.Expect(err).NotTo(HaveOccurred())
		s.Put(dispatch.JobPrefix+"a", record)
		s.Put(dispatch.StatePrefix+"a", b)
		state, o := r.State(t.Context(), deadline(), "a")
		g.Expect(o).To(Equal(Found))
		g.Expect(state).To(Equal(batch.Running))
	})
}

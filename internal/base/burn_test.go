package base

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// TestCollection checks that a report waits no longer than its timeout for processes that do not
// answer, names them, and merges the answers of the others.
func TestCollection(t *testing.T) {
	q, err := burn.NewQuery(burn.DefaultAlerts(), time.Hour)
	answering := func(_ context.Context, _ fleet.Member, q burn.Query) (burn.Snapshot, error) {
		r := burn.Recorder{Since: time.Now()}
		r.RecordOutcome(time.Now(), "gust", fleet.Answered, time.Millisecond, time.Second)
		return r.Snapshot(time.Now(), q), nil
	}
	unresponsive := func(ctx context.Context, _ fleet.Member, _ burn.Query) (burn.Snapshot, error) {
		<-ctx.Done()
		return burn.Snapshot{}, errors.WithStack(ctx.Err())
	}
	mismatched := func(ctx context.Context, m fleet.Member, q burn.Query) (burn.Snapshot, error) {
		q.Windows = q.Windows[1:]
		return answering(ctx, m, q)
	}
	for _, c := range []struct {
		name    string
		bad     func(context.Context, fleet.Member, burn.Query) (burn.Snapshot, error)
		partial bool
	}{
		{"all processes answer", answering, false},
		{"one process does not answer", unresponsive, true},
		{"one process answers another query", mismatched, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(err).NotTo(HaveOccurred())
				ctx, cancel := context.WithTimeout(t.Context(), burnReportTimeout)
				defer cancel()
				var all []fleet.Member
				for i := range 3 * maxConcurrentBurnCalls {
					all = append(all, fleet.Member{ProcessIncarnation: fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint("process-", i))}})
				}
				bad := all[7].ID
				x := burnCollection{query: q, fetch: func(ctx context.Context, m fleet.Member, q burn.Query) (burn.Snapshot, error) {
					if m.ID == bad {
						return c.bad(ctx, m, q)
					}
					return answering(ctx, m, q)
				}}
				began := time.Now()
				x.run(ctx, all)
				g.Expect(time.Since(began)).To(BeNumerically("<=", burnProcessTimeout))
				g.Expect(x.incomplete).To(Equal(c.partial))
				want := len(all)
				if c.partial {
					want--
				}
				g.Expect(x.merged.Kinds[0].Windows[0].Answered).To(BeEquivalentTo(want))
				for i, p := range x.processes {
					g.Expect(p.ID).To(Equal(all[i].ID))
					g.Expect(p.Error != "").To(Equal(c.partial && p.ID == bad), string(p.ID))
				}
			})
		})
	}
	g := NewWithT(t)
	remote := member.Summary{Members: 20, Contacts: make([]member.Contact, 15)}
	g.Expect(countUnseen([]member.RemoteDataCentre{{Summary: remote, ReceivedAt: time.Now()}, {Summary: remote}})).To(Equal(5 + 1))
}

// TestArrival checks which requests count as arrived or refused while their kind is below its floor.
func TestArrival(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	load := func(fleet.Kind) admit.Load { return admit.Load{Limit: 8} }
	for _, c := range []struct {
		name           string
		ctx            context.Context
		before, during int
		start          bool
		asked, refused uint64
	}{
		{"started", t.Context(), 1, 0, true, 1, 0},
		{"refused", t.Context(), 1, 0, false, 1, 1},
		{"the floor is used up", t.Context(), 2, 0, false, 0, 0},
		{"the floor is used up after the arrival", t.Context(), 1, 1, false, 0, 0},
		{"cancelled by the caller", cancelled, 0, 0, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := &Base{}
			b.inForce.Store(&table.Table{Rows: []table.Row{{Kind: "gust", Floor: 0.2, Ceiling: 0.8}}})
			for range c.before {
				b.BurnRecorder.Begin("gust")
			}
			x := b.NewArrival("gust")
			for range c.during {
				b.BurnRecorder.Begin("gust")
			}
			if c.start {
				x.RecordStart(load)()
			} else {
				x.RecordRefusal(c.ctx, load)
			}
			g.Expect(b.BurnRecorder.Running("gust")).To(Equal(c.before + c.during))
			s := b.BurnRecorder.Snapshot(time.Now(), burn.Query{Windows: []time.Duration{time.Minute}, Step: burn.BucketWidth})
			w := s.Kinds[0].Windows[0]
			g.Expect(w.FloorAsked).To(Equal(c.asked))
			g.Expect(w.FloorRefused).To(Equal(c.refused))
		})
	}
}

package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/test/history"
)

// lateCreations gives the changes that create a job no answer while held, and carries them out when it's told to.
type lateCreations struct {
	kv.Store
	mu      sync.Mutex
	held    map[string]bool
	pending []kv.Change
}

func (s *lateCreations) Apply(ctx context.Context, c kv.Change) (kv.Revision, error) {
	s.mu.Lock()
	held := len(c.Puts) == 1 && s.held[c.Puts[0].Key]
	if held {
		s.pending = append(s.pending, c)
	}
	s.mu.Unlock()
	if held {
		<-ctx.Done()
		return 0, kv.ErrUnknown
	}
	return s.Store.Apply(ctx, c)
}

// A job whose creation is carried out after its cancelling was acknowledged ran, whoever acknowledged it: another entry,
// or the same one after a restart. It must not run through a takeover either, and nothing may stay in the store.
func TestLateCreationOfACancelledJobRunsNothing(t *testing.T) {
	for _, restart := range []bool{false, true} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("restart %v, takeover %v", restart, takeOver), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					r := newRig(t, 1, 3, 3)
					defer r.close()
					late := &lateCreations{Store: r.procs[0].store, held: map[string]bool{}}
					for _, p := range r.procs[:3] {
						p.wrapStore = func(kv.Store) kv.Store { return late }
						p.kill()
						p.start()
					}
					time.Sleep(8 * time.Second)
					r.submitJobs(1)
					j := r.newJob(99)
					late.held[dispatch.JobPrefix+string(j.ID)] = true
					writer, canceller := r.procs[0], r.procs[1]
					v, _ := writer.submitOnce(j)
					g.Expect(v.Outcome).To(Equal(gateway.Unknown))
					if restart {
						writer.kill()
						writer.start()
						time.Sleep(5 * time.Second)
						canceller = writer
					}
					g.Expect(canceller.gateway().Cancel(context.Background(), time.Now().Add(3*time.Second), j.ID).Outcome).To(Equal(gateway.NotFound))
					if takeOver {
						for _, p := range r.procs {
							if p.name == r.leaderName() {
								p.kill()
								time.Sleep(10 * time.Second)
								p.start()
								break
							}
						}
					}
					g.Expect(late.pending).NotTo(BeEmpty())
					for _, c := range late.pending {
						_, err := r.procs[0].store.Apply(context.Background(), c)
						g.Expect(err).To(MatchError(kv.ErrConflict))
					}
					time.Sleep(10 * time.Second)
					g.Expect(r.history.StartCount(j.ID)).To(BeZero())
					r.checkCompleted(1)
					// Cancellations are kept as long as ended jobs.
					time.Sleep(11 * time.Minute)
					g.Expect(r.store.Items(dispatch.InputPrefix)).To(BeEmpty())
				})
			})
		}
	}
}

// Entries hold one account of what jobs take of the scheduler's memory, also after a takeover, and small jobs run all the while.
func TestJobsBeyondTheMemoryAreRefusedAcrossTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		defer r.close()
		r.jobMemory = 2 << 20
		for _, p := range r.procs {
			p.kill()
			p.start()
		}
		time.Sleep(5 * time.Second)
		refused, accepted, n := 0, 0, 0
		for round := range 4 {
			for i := range 60 {
				n++
				j := &batch.Job{
					ID: batch.JobID(fmt.Sprintf("%016x", 0xb000+n)), Queue: "wide", Repeat: 5000, Start: time.Now().Add(24 * time.Hour), Interval: time.Hour,
					Steps: []batch.Step{{Count: 10, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}},
				}
				v, _ := r.procs[i%3].submitOnce(j)
				switch v.Outcome {
				case gateway.Accepted:
					accepted++
				case gateway.Full:
					refused++
					g.Expect(v.RetryAfter).To(BeNumerically(">=", time.Second))
				}
				time.Sleep(50 * time.Millisecond)
			}
			for _, p := range r.procs {
				if p.name == r.leaderName() {
					p.kill()
					time.Sleep(time.Second)
					p.start()
					break
				}
			}
			time.Sleep(10 * time.Second)
			t.Logf("round %d: %d accepted, %d refused", round, accepted, refused)
		}
		g.Expect(refused).To(BeNumerically(">", 0))
		g.Expect(accepted).To(BeNumerically(">", 0))
		held := r.procs[0].gateway().HeldJobMemory()
		g.Expect(held).To(BeNumerically("<=", 2<<20))
		g.Expect(held).To(BeNumerically(">", 0))
		r.submitJobs(3)
		time.Sleep(15 * time.Second)
		r.checkCompleted(3)
	})
}

// Jobs whose creations are carried out up to 6 s late are cancelled, at any entry, while processes start anew and
// schedulers take over: nothing runs after its cancelling was acknowledged, and all records are removed in the end.
// SEEDS=FROM-TO selects other seeds.
func TestCancelledJobsAmongLateCreations(t *testing.T) {
	for _, seed := range selectedSeeds(t, 12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newRig(t, 7100+seed, 3, 3)
				defer r.close()
				time.Sleep(5 * time.Second)
				var callers sync.WaitGroup
				const jobs = 60
				for n := range jobs {
					time.Sleep(time.Duration(r.intn(600)) * time.Millisecond)
					p := r.procs[r.intn(3)]
					switch r.intn(8) {
					case 0:
						p.store.Set(memory.Faults{ApplyDelay: time.Duration(1+r.intn(5)) * time.Second})
					case 1, 2:
						p.store.Set(memory.Faults{})
					case 3:
						p.kill()
						p.start()
					case 4:
						for _, x := range r.procs {
							if x.name == r.leaderName() {
								x.kill()
								x.start()
								break
							}
						}
					}
					j, patience := r.newJob(n), time.Duration(r.intn(4000))*time.Millisecond
					entry := r.randomEntry()
					callers.Go(func() {
						v, _ := entry.submitOnce(j)
						switch v.Outcome {
						case gateway.Accepted:
							r.history.Accepted(j)
						case gateway.Refused, gateway.Full, gateway.Cancelled:
							r.history.Refused(j.ID)
						default:
							r.history.OutcomeUnknown(j.ID)
						}
					})
					if n%2 == 0 {
						callers.Go(func() {
							time.Sleep(patience)
							r.cancel(j.ID)
						})
					}
				}
				callers.Wait()
				for _, p := range r.procs {
					p.store.Set(memory.Faults{})
				}
				time.Sleep(10 * time.Second)
				for n := 0; n < jobs; n += 2 {
					// A cancel that was never answered may have had its effect; its caller comes back.
					r.cancel(history.JobID(n))
				}
				time.Sleep(60 * time.Second)
				r.history.CheckFinalState(r.jobState)
				time.Sleep(15 * time.Minute)
				g.Expect(r.store.Items(dispatch.InputPrefix)).To(BeEmpty())
			})
		})
	}
}

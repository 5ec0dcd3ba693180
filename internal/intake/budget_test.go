package intake_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/intake"
)

// A budget that is full must drop the oldest incomplete request, not the newest, and must not
// hand out its bytes before they are released.
func TestOldestIncompleteRequestIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := intake.NewBudget(100)
		var interrupted []string
		open := func(name string) *intake.Reservation {
			return b.Open(func() { interrupted = append(interrupted, name) })
		}
		answered, oldest, second, newest := open("answered"), open("oldest"), open("second"), open("newest")
		g.Expect(answered.Reserve(30)).To(Succeed())
		g.Expect(answered.Complete()).To(Succeed())
		g.Expect(oldest.Reserve(30)).To(Succeed())
		g.Expect(second.Reserve(40)).To(Succeed())
		done := make(chan error, 1)
		go func() { done <- newest.Reserve(20) }()
		synctest.Wait()
		g.Expect(interrupted).To(Equal([]string{"oldest"}))
		g.Expect(b.Used()).To(Equal(int64(100)), "the evicted bytes are still held")
		g.Expect(done).NotTo(Receive())
		g.Expect(oldest.Complete()).To(MatchError(intake.ErrBusy))
		oldest.Release()
		g.Expect(<-done).To(Succeed())
		g.Expect(b.Used()).To(Equal(int64(90)))
		for _, r := range []*intake.Reservation{answered, second, newest} {
			r.Release()
			r.Release()
		}
		g.Expect(b.Used()).To(BeZero())
	})
}

// Complete requests must never be evicted. A request that finds no room beside them waits for a
// part of its caller's time.
func TestCompleteRequestsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := intake.NewBudget(100)
		held := b.Open(func() { t.Error("a complete request was evicted") })
		g.Expect(held.Reserve(90)).To(Succeed())
		g.Expect(held.Complete()).To(Succeed())
		late := b.Open(func() {})
		began := time.Now()
		g.Expect(late.Reserve(20)).To(MatchError(intake.ErrBusy))
		g.Expect(time.Since(began)).To(Equal(2 * time.Second))
		time.AfterFunc(time.Second, held.Release)
		g.Expect(late.Reserve(20)).To(Succeed())
		late.Release()
		large := b.Open(func() {})
		g.Expect(large.Reserve(101)).To(MatchError(intake.ErrBusy), "more than the budget evicts nobody")
		large.Release()
		g.Expect(b.Used()).To(BeZero())
	})
}

// A burst of ordinary large requests must be served in turn, and stalled ones must give way to
// it: a budget that evicted at once refused 442 of 1,200 requests of 262,000 bytes by 300 callers.
func TestLargeRequestsWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const size = 250_000
		b := intake.NewBudget(14 * size)
		evicted := 0
		var stalled []*intake.Reservation
		for range 10 {
			var r *intake.Reservation
			r = b.Open(func() {
				evicted++
				go r.Release()
			})
			g.Expect(r.Reserve(size)).To(Succeed())
			stalled = append(stalled, r)
		}
		var requests sync.WaitGroup
		var failed atomic.Int64
		for range 100 {
			requests.Go(func() {
				r := b.Open(func() {})
				defer r.Release()
				if r.Reserve(size) != nil || r.Complete() != nil {
					failed.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			})
		}
		small := b.Open(func() {})
		began := time.Now()
		g.Expect(small.Reserve(1000)).To(Succeed())
		g.Expect(time.Since(began)).To(BeZero(), "a small request does not wait for large ones")
		requests.Wait()
		g.Expect(failed.Load()).To(BeNumerically("<=", int64(1)), "one may have given way to the small request")
		g.Expect(evicted).To(Equal(10))
		for _, r := range append(stalled, small) {
			r.Release()
		}
		g.Expect(b.Used()).To(BeZero())
	})
}

// Many requests that grow at once must neither exceed the budget, nor leak a byte of it, nor
// wait for each other for ever.
func TestRequestsThatGrowAtOnce(t *testing.T) {
	g := NewWithT(t)
	const limit = 1000
	b := intake.NewBudget(limit)
	var requests sync.WaitGroup
	for range 50 {
		requests.Go(func() {
			for range 200 {
				r := b.Open(func() {})
				for r.Reserve(60) == nil {
					if b.Used() > limit {
						t.Error("the budget is exceeded")
					}
				}
				r.Release()
			}
		})
	}
	requests.Wait()
	g.Expect(b.Used()).To(BeZero())
}

// stutter returns a few bytes at a time.
type stutter struct{ r io.Reader }

func (s stutter) Read(b []byte) (int, error) { return s.r.Read(b[:min(len(b), 100)]) }

func TestReadAll(t *testing.T) {
	const limit = 50_000
	failed := errors.New("stop")
	for name, c := range map[string]struct {
		sent, length int
		err          error
	}{
		"announced":                 {20_000, 20_000, nil},
		"empty":                     {0, 0, nil},
		"announced, at the limit":   {limit, limit, nil},
		"announced, over the limit": {0, limit + 1, intake.ErrTooLarge},
		"unannounced":               {20_000, -1, nil},
		"unannounced, at the limit": {limit, -1, nil},
		"unannounced, over it":      {limit + 1, -1, intake.ErrTooLarge},
		"check fails":               {45_000, -1, failed},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := intake.NewBudget(4 * limit)
			r := b.Open(func() {})
			check := func(read int64) error {
				if errors.Is(c.err, failed) && read > 40_000 {
					return failed
				}
				return nil
			}
			out, err := intake.ReadAll(stutter{strings.NewReader(strings.Repeat("x", c.sent))}, int64(c.length), limit, r, check)
			if c.err != nil {
				g.Expect(err).To(MatchError(c.err))
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(out).To(HaveLen(c.sent))
				g.Expect(b.Used()).To(Equal(int64(cap(out))))
			}
			r.Release()
			g.Expect(b.Used()).To(BeZero())
		})
	}
}

// A reservation for what a length announces, rather than for what has arrived, would let a
// client take the budget without sending anything.
func TestAnnouncedLengthReservesLittle(t *testing.T) {
	g := NewWithT(t)
	b := intake.NewBudget(1 << 20)
	r := b.Open(func() {})
	_, err := intake.ReadAll(io.MultiReader(bytes.NewReader([]byte("x")), brokenReader{}), 1<<19, 1<<19, r, nil)
	g.Expect(err).To(MatchError(intake.ErrTruncated))
	g.Expect(b.Used()).To(BeNumerically("<=", 16<<10))
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A request whose deadline is near, or past, must still be served where there is no need to wait.
func TestWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var reached []intake.Reason
		i := intake.New(100, 100, func(r intake.Reason) { reached = append(reached, r) })
		ended, cancel := contextEnded(t)
		defer cancel()
		done, err := i.Work(ended, 500)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = i.Work(ended, 1)
		g.Expect(err).To(MatchError(intake.ErrBusy))
		g.Expect(reached).To(Equal([]intake.Reason{intake.ReasonWork}))
		time.AfterFunc(time.Second, done)
		_, err = i.Work(t.Context(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = (*intake.Intake)(nil).Work(ended, 1)
		g.Expect(err).NotTo(HaveOccurred(), "without an intake there is no bound")
	})
}

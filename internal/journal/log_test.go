package journal_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/internal/consul"
	"github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/journal"
	"github.com/sesamestream/sesamestream/internal/store"
	decided "github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() { _ = flag.Set("rapid.seed", "7") }

// errCrash stands for the death of the process at a call.
var errCrash = errors.New("crashed")

// A faulty transport fails calls, loses their answers, and dies for good after some.
type faulty struct {
	mu     sync.Mutex
	server *standin.Server
	rand   *rand.Rand
	left   int
}

func (f *faulty) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.left--
	dead, fault := f.left < 0, f.rand.IntN(8)
	f.mu.Unlock()
	if dead || fault == 0 {
		return nil, errCrash
	}
	p, err := f.server.RoundTrip(r)
	if fault == 1 && r.Method != http.MethodGet {
		return nil, errCrash
	}
	return p, err
}

func client(t http.RoundTripper) *consul.Client {
	return &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: t}}
}

// Each owner works over a faulty store until it dies at some call; the next one has to find
// every record promised, once and in order, none that was refused, and snapshots that agree.
func TestCommittedRecordsSurviveOwnerFailures(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := history{seed: rapid.Uint64().Draw(r, "seed"), not: map[string]bool{}}
		lives := rapid.SliceOfN(rapid.IntRange(3, 60), 1, 6).Draw(r, "calls")
		var err error
		synctest.Test(t, func(*testing.T) { err = h.run(lives) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// A history is what was promised and refused by owners one after another.
type history struct {
	seed uint64
	must []string
	not  map[string]bool
}

func (h *history) run(lives []int) error {
	s := &standin.Server{}
	for i, n := range lives {
		f := &faulty{server: s, rand: rand.New(rand.NewPCG(h.seed, uint64(i))), left: n}
		if err := h.work(client(f), i); err != nil {
			return err
		}
	}
	l := &journal.Log{Store: client(s), Process: fleet.ProcessIncarnation{ID: "last"}}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := l.Open(ctx)
	if err != nil {
		return err
	}
	return h.check(string(r.Snapshot) + join(r.Records))
}

// work opens the journal and appends and snapshots until the store is gone.
func (h *history) work(s store.Store, life int) error {
	l := &journal.Log{Store: s, Process: fleet.ProcessIncarnation{ID: "o", Incarnation: fleet.Incarnation(life)}, MaxSegment: 400}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := l.Open(ctx)
	if err != nil {
		return nil
	}
	have := string(r.Snapshot) + join(r.Records)
	if err := h.check(have); err != nil {
		return err
	}
	for i := 0; ; i++ {
		a, b := fmt.Sprintf("%d.%d,", life, i), fmt.Sprintf("%d.%d+,", life, i)
		m, err := l.Append(ctx, []byte(a), []byte(b))
		if err != nil {
			h.not[a] = !errors.Is(err, store.ErrUnknown)
			return nil
		}
		h.must = append(h.must, a, b)
		have += a + b
		if i%3 == 2 {
			_ = l.Snapshot(ctx, []byte(have), m)
		}
	}
}

// check compares what a journal holds with what was promised of it.
func (h *history) check(have string) error {
	seen := map[string]bool{}
	i := 0
	for _, r := range strings.SplitAfter(have, ",") {
		if h.not[r] || seen[r] {
			return errors.Errorf("%s was refused or stands twice in %s", r, have)
		}
		seen[r] = true
		if i < len(h.must) && h.must[i] == r {
			i++
		}
	}
	if i < len(h.must) {
		return errors.Errorf("%s is missing or out of order in %s", h.must[i], have)
	}
	return nil
}

func join(rs [][]byte) (s string) {
	for _, r := range rs {
		s += string(r)
	}
	return s
}

// A paused owner loses its journal to another, and learns it before it can act.
func TestPausedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := client(&standin.Server{})
		ctx := context.Background()
		fenced := make(chan bool, 1)
		old := &journal.Log{Store: s, Process: fleet.ProcessIncarnation{ID: "a"}, OnFenced: func() { fenced <- true }}
		defer old.Close()
		_, err := old.Open(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = old.Append(ctx, []byte("1"))
		g.Expect(err).NotTo(HaveOccurred())

		next := &journal.Log{Store: s, Process: fleet.ProcessIncarnation{ID: "b"}}
		defer next.Close()
		r, err := next.Open(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(join(r.Records)).To(Equal("1"))
		m, err := next.Append(ctx, []byte("2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(next.Snapshot(ctx, []byte("12"), m)).To(Succeed())

		_, err = old.Append(ctx, []byte("x"))
		g.Expect(err).To(MatchError(journal.ErrLost))
		g.Expect(<-fenced).To(BeTrue())
		g.Expect(old.Snapshot(ctx, []byte("1x"), m)).To(MatchError(journal.ErrLost))
	})
}

// While the store is down an append ends as not run, or unknown if its answer was lost.
func TestAppendDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		l := &journal.Log{Store: client(s), Process: fleet.ProcessIncarnation{ID: "a"}}
		defer l.Close()
		_, err := l.Open(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(s.Set(standin.Fault{Mode: standin.Down})).To(Succeed())
		done := make(chan error, 2)
		for _, r := range []string{"1", "2"} {
			go func() {
				_, err := l.Append(ctx, []byte(r))
				done <- err
			}()
			synctest.Wait()
		}
		g.Expect([]error{<-done, <-done}).To(ConsistOf(MatchError(store.ErrUnknown), MatchError(store.ErrUnavailable)))
		g.Expect(s.Set(standin.Fault{Mode: standin.Up})).To(Succeed())
		_, err = l.Append(context.Background(), []byte("3"))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Sixteen logs under load share one pace; each tells its commits in the order of submission.
func TestLogsShareOneWriteLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		pace := rate.NewLimiter(100, 10)
		var told, wrong atomic.Int64
		for n := range 16 {
			l := &journal.Log{Store: client(s), Shard: n, Process: fleet.ProcessIncarnation{ID: "a"}, WriteLimiter: pace}
			defer l.Close()
			_, err := l.Open(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			var last decided.Mark
			for range 500 {
				l.Submit(func(m decided.Mark, err error) {
					if err != nil || !last.Before(m) {
						wrong.Add(1)
					}
					last = m
					told.Add(1)
				}, []byte("r"))
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		g.Expect(told.Load()).To(BeEquivalentTo(16 * 500))
		g.Expect(wrong.Load()).To(BeZero())
		g.Expect(s.Counts().Writes).To(BeNumerically("<=", 100*9+10+16), "9 s at 100 writes a second, and the takeovers")
	})
}

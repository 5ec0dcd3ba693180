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

// errCrash is the error of a call during which the process crashes.
var errCrash = errors.New("crashed")

// A faultyTransport fails some calls, loses the responses of others, and fails
// every call after the first callsLeft.
type faultyTransport struct {
	mu        sync.Mutex
	server    *standin.Server
	rand      *rand.Rand
	callsLeft int
}

func (f *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.callsLeft--
	dead, fault := f.callsLeft < 0, f.rand.IntN(8)
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

func newClient(t http.RoundTripper) *consul.Client {
	return &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: t}}
}

// TestCommittedRecordsSurviveOwnerFailures lets several owners in turn use a faulty store until
// each crashes during a call. Every later owner finds all committed records once and in order,
// none that was refused, and snapshots that agree with them.
func TestCommittedRecordsSurviveOwnerFailures(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := history{seed: rapid.Uint64().Draw(r, "seed"), refused: map[string]bool{}}
		callCounts := rapid.SliceOfN(rapid.IntRange(3, 60), 1, 6).Draw(r, "calls")
		var err error
		synctest.Test(t, func(*testing.T) { err = h.run(callCounts) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// A history holds the records that a sequence of owners reported as committed or refused.
type history struct {
	seed      uint64
	committed []string
	refused   map[string]bool
}

func (h *history) run(callCounts []int) error {
	s := &standin.Server{}
	for i, n := range callCounts {
		f := &faultyTransport{server: s, rand: rand.New(rand.NewPCG(h.seed, uint64(i))), callsLeft: n}
		if err := h.runOwner(newClient(f), i); err != nil {
			return err
		}
	}
	l := &journal.Log{Store: newClient(s), Process: fleet.ProcessIncarnation{ID: "last"}}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := l.Open(ctx)
	if err != nil {
		return err
	}
	return h.check(string(r.Snapshot) + join(r.Records))
}

// runOwner opens the journal, then appends records and writes snapshots until a call fails.
func (h *history) runOwner(s store.Store, owner int) error {
	l := &journal.Log{Store: s, Process: fleet.ProcessIncarnation{ID: "o", Incarnation: fleet.Incarnation(owner)}, MaxSegment: 400}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := l.Open(ctx)
	if err != nil {
		return nil
	}
	content := string(r.Snapshot) + join(r.Records)
	if err := h.check(content); err != nil {
		return err
	}
	for i := 0; ; i++ {
		a, b := fmt.Sprintf("%d.%d,", owner, i), fmt.Sprintf("%d.%d+,", owner, i)
		m, err := l.Append(ctx, []byte(a), []byte(b))
		if err != nil {
			h.refused[a] = !errors.Is(err, store.ErrUnknown)
			return nil
		}
		h.committed = append(h.committed, a, b)
		content += a + b
		if i%3 == 2 {
			_ = l.Snapshot(ctx, []byte(content), m)
		}
	}
}

// check compares the content of a journal with the records reported as committed or refused.
func (h *history) check(content string) error {
	seen := map[string]bool{}
	i := 0
	for _, r := range strings.SplitAfter(content, ",") {
		if h.refused[r] || seen[r] {
			return errors.Errorf("%s was refused or appears twice in %s", r, content)
		}
		seen[r] = true
		if i < len(h.committed) && h.committed[i] == r {
			i++
		}
	}
	if i < len(h.committed) {
		return errors.Errorf("%s is missing or out of order in %s", h.committed[i], content)
	}
	return nil
}

func join(rs [][]byte) (s string) {
	for _, r := range rs {
		s += string(r)
	}
	return s
}

// TestPausedOwnerIsFenced checks that an owner whose journal is taken over while it is paused can
// neither append nor write a snapshot, and is notified that it is fenced.
func TestPausedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newClient(&standin.Server{})
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

// TestOddKeysHideNoSegment checks that a record of another writer among the segments keeps no
// owner from the journal. Before, each owner in turn took the journal for corrupt.
func TestOddKeysHideNoSegment(t *testing.T) {
	for name, key := range map[string]string{
		"no number": "odd", "number too large": strings.Repeat("9", 40), "below zero": "-0000000000000000001", "nested": strings.Repeat("[", 20),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newClient(&standin.Server{})
			first := &journal.Log{Store: s, Process: fleet.ProcessIncarnation{ID: "a"}}
			_, err := first.Open(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = first.Append(t.Context(), []byte("1"))
			g.Expect(err).NotTo(HaveOccurred())
			first.Close()
			const prefix = "shard/0/log/"
			segments, err := s.List(t.Context(), prefix)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(segments).NotTo(BeEmpty())
			_, _, err = s.CAS(t.Context(), prefix+key, []byte("x"), 0)
			g.Expect(err).NotTo(HaveOccurred())

			next := &journal.Log{Store: s, Process: fleet.ProcessIncarnation{ID: "b"}}
			defer next.Close()
			r, err := next.Open(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(join(r.Records)).To(Equal("1"))
			_, err = next.Append(t.Context(), []byte("2"))
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

// TestAppendDuringOutage checks that, while the store is down, an append that is still queued ends
// with ErrUnavailable and one whose write was sent ends with ErrUnknown.
func TestAppendDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		l := &journal.Log{Store: newClient(s), Process: fleet.ProcessIncarnation{ID: "a"}}
		defer l.Close()
		_, err := l.Open(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(s.SetFault(standin.Fault{Mode: standin.Down})).To(Succeed())
		done := make(chan error, 2)
		for _, r := range []string{"1", "2"} {
			go func() {
				_, err := l.Append(ctx, []byte(r))
				done <- err
			}()
			synctest.Wait()
		}
		g.Expect([]error{<-done, <-done}).To(ConsistOf(MatchError(store.ErrUnknown), MatchError(store.ErrUnavailable)))
		g.Expect(s.SetFault(standin.Fault{Mode: standin.Up})).To(Succeed())
		_, err = l.Append(context.Background(), []byte("3"))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestLogsShareOneWriteLimiter runs sixteen logs under load with one write limiter, and checks that
// each reports its commits in the order of submission.
func TestLogsShareOneWriteLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &standin.Server{}
		limiter := rate.NewLimiter(100, 10)
		var reported, wrong atomic.Int64
		for n := range 16 {
			l := &journal.Log{Store: newClient(s), Shard: n, Process: fleet.ProcessIncarnation{ID: "a"}, WriteLimiter: limiter}
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
					reported.Add(1)
				}, []byte("r"))
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		g.Expect(reported.Load()).To(BeEquivalentTo(16 * 500))
		g.Expect(wrong.Load()).To(BeZero())
		g.Expect(s.Counts().Writes).To(BeNumerically("<=", 100*9+10+16), "9 s at 100 writes a second, the burst and the takeovers")
	})
}

package consul_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/consul"
	"github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/store"
)

// TestClientAgainstStandin checks the operations of the store and their errors during faults against the
// stand-in.
func TestClientAgainstStandin(t *testing.T) {
	g := NewWithT(t)
	s := &standin.Server{}
	h := httptest.NewServer(s)
	defer h.Close()
	c := &consul.Client{Address: h.URL, MaxValue: 64}
	ctx := context.Background()

	_, err := c.Get(ctx, "a/b")
	g.Expect(err).To(MatchError(store.ErrNotFound))
	p, ok, err := c.CAS(ctx, "a/b", []byte("1"), 0, store.Guard{Key: "a/c"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ok).To(BeTrue())
	_, ok, _ = c.CAS(ctx, "a/b", []byte("2"), 0)
	g.Expect(ok).To(BeFalse())
	_, ok, _ = c.CAS(ctx, "a/c", []byte("2"), 0, store.Guard{Key: "a/b", Index: p.Index + 1})
	g.Expect(ok).To(BeFalse(), "a guard with another index must stop the write")
	q, err := c.Get(ctx, "a/b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(q).To(Equal(p))
	_, _, err = c.CAS(ctx, "a/c", make([]byte, 65), 0)
	g.Expect(err).To(MatchError(store.ErrTooLarge))

	one, err := c.Grant(ctx, consul.MinTTL)
	g.Expect(err).NotTo(HaveOccurred())
	two, _ := c.Grant(ctx, consul.MinTTL)
	for _, r := range []struct {
		lease store.LeaseID
		want  bool
	}{{one, true}, {two, false}, {one, true}} {
		ok, err := c.Acquire(ctx, "o", []byte("x"), r.lease)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(Equal(r.want))
	}
	g.Expect(c.Revoke(ctx, one)).To(Succeed())
	g.Expect(c.Renew(ctx, one)).To(MatchError(store.ErrLeaseLapsed))
	ok, _ = c.Acquire(ctx, "o", []byte("y"), two)
	g.Expect(ok).To(BeTrue())

	g.Expect(s.SetFault(standin.Fault{Mode: standin.LoseAnswers})).To(Succeed())
	_, _, err = c.CAS(ctx, "a/d", []byte("3"), 0)
	g.Expect(err).To(MatchError(store.ErrUnknown))
	q, err = c.Get(ctx, "a/d")
	g.Expect(err).NotTo(HaveOccurred(), "the write must have taken effect")
	g.Expect(s.SetFault(standin.Fault{Mode: standin.Down})).To(Succeed())
	_, _, err = c.CAS(ctx, "a/e", []byte("3"), 0)
	g.Expect(err).To(MatchError(store.ErrUnknown))
	g.Expect(s.SetFault(standin.Fault{Mode: standin.Up})).To(Succeed())
	done := make(chan store.Pair)
	go func() {
		p, _ := c.Watch(ctx, "a/d", q.Index, time.Minute)
		done <- p
	}()
	g.Eventually(func() int { return s.Counts().Watches }).Should(Equal(1))
	_, ok, _ = c.CAS(ctx, "a/d", []byte("4"), q.Index)
	g.Expect(ok).To(BeTrue())
	g.Expect((<-done).Value).To(Equal([]byte("4")))
	ps, _ := c.List(ctx, "a/")
	g.Expect(ps).To(HaveLen(2))
	ok, _ = c.Delete(ctx, "a/d", q.Index)
	g.Expect(ok).To(BeFalse())
	h.Close()
	_, _, err = c.CAS(ctx, "a/e", []byte("3"), 0)
	g.Expect(err).To(MatchError(store.ErrUnavailable))
}

func TestStandinRejectsUnknownMode(t *testing.T) {
	g := NewWithT(t)
	s := &standin.Server{}
	g.Expect(s.SetFault(standin.Fault{Mode: "upp"})).NotTo(Succeed())
	g.Expect(s.SetFault(standin.Fault{Mode: standin.Down})).To(Succeed())
}

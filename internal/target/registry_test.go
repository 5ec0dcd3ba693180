package target_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// announcement returns an announcement of several kinds, numbered from first.
func announcement(id string, first, kinds int) target.Announcement {
	a := target.Announcement{ID: id, Address: netip.MustParseAddrPort("127.0.0.1:1"), Connections: 1}
	for i := range kinds {
		a.Kinds = append(a.Kinds, fleet.Kind(fmt.Sprintf("kind-%d", first+i)))
	}
	return a
}

// TestKindsPerHostAreBounded checks that the targets of one host cannot announce more
// kinds than its agent can offer to its peers. Expired targets do not count.
func TestKindsPerHostAreBounded(t *testing.T) {
	g := NewWithT(t)
	var r target.Registry
	now := time.Unix(1000, 0)
	g.Expect(r.Announce(now, announcement("a", 0, target.MaxKinds))).To(Succeed())
	g.Expect(r.Announce(now, announcement("b", 0, target.MaxKinds))).To(Succeed(), "the same kinds")
	g.Expect(r.Announce(now, announcement("c", target.MaxKinds, 1))).To(MatchError(target.ErrBadAnnouncement))
	g.Expect(r.Announce(now.Add(time.Minute), announcement("c", target.MaxKinds, 1))).To(Succeed(), "the other announcements have expired")
}

// TestLeavingTargetGetsNoRequests checks that a target is not chosen once it announces
// that it is leaving.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	var r target.Registry
	now := time.Unix(1000, 0)
	a := announcement("a", 0, 1)
	g.Expect(r.Announce(now, a)).To(Succeed())
	_, err := r.Acquire(now, "kind-0")
	g.Expect(err).NotTo(HaveOccurred())
	r.Release("a")
	a.Leaving = true
	g.Expect(r.Announce(now, a)).To(Succeed())
	_, err = r.Acquire(now, "kind-0")
	g.Expect(err).To(MatchError(target.ErrNoTarget))
	g.Expect(r.Kinds(now)).To(BeEmpty())
}

// TestDepartureWaitsForChosenRequests checks that the departure of a target is not
// acknowledged while a request for which it was chosen isn't over. The target would
// close the connection on which that request is about to be sent.
func TestDepartureWaitsForChosenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, a := registryWithRequest(g)
		a.Leaving = true
		g.Expect(r.Announce(time.Now(), a)).To(Succeed())

		began := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { r.Release("a") })
		r.AwaitIdle(t.Context(), "a")
		g.Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
		r.AwaitIdle(t.Context(), "a")
		r.AwaitIdle(t.Context(), "unknown")
		g.Expect(time.Since(began)).To(Equal(200 * time.Millisecond))

		_, err := r.Acquire(time.Now(), a.Kinds[0])
		g.Expect(err).To(MatchError(target.ErrNoTarget))
	})
}

// registryWithRequest returns a registry with one target, which has a request in flight.
func registryWithRequest(g *WithT) (*target.Registry, target.Announcement) {
	r, a := &target.Registry{}, announcement("a", 0, 1)
	g.Expect(r.Announce(time.Now(), a)).To(Succeed())
	_, err := r.Acquire(time.Now(), a.Kinds[0])
	g.Expect(err).NotTo(HaveOccurred())
	return r, a
}

// TestDepartureWaitIsBounded checks that a request that never ends doesn't delay the
// acknowledgement of a departure for ever.
func TestDepartureWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := registryWithRequest(NewWithT(t))
		began := time.Now()
		c, cancel := context.WithTimeout(t.Context(), target.MaxLeaveWait)
		defer cancel()
		r.AwaitIdle(c, "a")
		NewWithT(t).Expect(time.Since(began)).To(Equal(target.MaxLeaveWait))
	})
}

package target_test

import (
	"fmt"
	"net/netip"
	"testing"
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

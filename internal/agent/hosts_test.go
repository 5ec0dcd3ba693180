package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// TestLostDataCentreIsExcludedFromShares guards against share factors that still count a lost data centre:
// once its summary is too old, the factor of a kind depends on the remaining hosts only.
func TestLostDataCentreIsExcludedFromShares(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	own := admit.Host{Connections: 10, Kinds: []fleet.Kind{"gust", "session"}}
	far := member.RemoteDataCentre{ReceivedAt: now, Summary: member.Summary{Kinds: []member.KindSummary{{Kind: "session", Agents: 1, Capacity: 30}}}}
	gust := func(at time.Time) float64 {
		for _, s := range admit.ShareFactors(mergeHosts(at, own, nil, []member.RemoteDataCentre{far}), nil) {
			if s.Kind == "gust" {
				return s.Factor
			}
		}
		return 0
	}
	g.Expect(gust(now)).To(Equal(4.0), "a quarter of the fleet serves the kind")
	g.Expect(gust(now.Add(maxRemoteAge+time.Second))).To(Equal(1.0), "the remaining hosts all serve the kind")
}

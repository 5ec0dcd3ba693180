package schedule

import (
	"os"
	"testing"
)

func TestLab(t *testing.T) {
	if os.Getenv("LAB") == "" {
		return
	}
	for name, l := range map[string]fleetLoad{"dozen": dozenWorkers(), "large": dozenLargeWorkers()} {
		r := meanResult(t, name, 40, l, policyVariant{})
		known := l
		known.knownWeights = true
		k := meanResult(t, name+" known", 40, known, policyVariant{})
		_, _ = r, k
	}
	meanResult(t, "third", 4, thirdOfLargeFleet(), policyVariant{})
}

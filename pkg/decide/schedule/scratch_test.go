package schedule

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

func scratchLoads() map[string]fleetLoad {
	g := largeFleet.scaledTo(76)
	g.cpuFactor = 4
	g.lightWeight, g.heavyWeight = [2]float64{0, 0.02}, [2]float64{0.1, 0.45}
	g.wideRate, g.wideWidth, g.urgentRate, g.urgentWidth = 2.24, 20, 14, 10
	g.servingJobs, g.servingWidth = 22, 14
	g.victimImages, g.aggressorImages = 9, 14
	return map[string]fleetLoad{"small": dozenWorkers(), "large": dozenLargeWorkers(), "third": thirdOfLargeFleet(), "grown": g}
}

func TestScratch(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("SEEDS"))
	if n == 0 {
		t.Skip()
	}
	for _, name := range strings.Fields(os.Getenv("LOADS")) {
		l := scratchLoads()[name]
		for _, k := range strings.Fields(os.Getenv("KNOWN")) {
			l.knownWeights = k == "1"
			meanResult(t, name+" known="+k, n, l, policyVariant{})
		}
	}
}

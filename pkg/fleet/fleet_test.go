package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func resources(t *rapid.T, label string) fleet.Resources {
	n := rapid.IntRange(0, 100)
	return fleet.Resources{
		Processors:   fleet.MilliProcessors(n.Draw(t, label+" processors")),
		Memory:       fleet.Bytes(n.Draw(t, label+" memory")),
		Accelerators: n.Draw(t, label+" accelerators"),
		Slots:        n.Draw(t, label+" slots"),
		Connections:  n.Draw(t, label+" connections"),
	}
}

func TestResourcesMinusUndoesPlus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b := resources(t, "a"), resources(t, "b")
		g.Expect(a.Plus(b).Minus(b)).To(Equal(a))
		g.Expect(a.Fits(a.Plus(b))).To(BeTrue())
	})
}

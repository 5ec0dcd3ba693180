package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func resources(t *rapid.T, l string) fleet.Resources {
	n := rapid.IntRange(0, 100)
	return fleet.Resources{
		Processors:   fleet.MilliProcessors(n.Draw(t, l+" processors")),
		Memory:       fleet.Bytes(n.Draw(t, l+" memory")),
		Accelerators: n.Draw(t, l+" accelerators"),
		Slots:        n.Draw(t, l+" slots"),
		Connections:  n.Draw(t, l+" connections"),
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

package succession_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// All times are in milliseconds after the store's last answer to the scheduler.
func TestTermEvidence(t *testing.T) {
	ms := func(ts ...int) (out []time.Time) {
		for _, v := range ts {
			out = append(out, now.Add(time.Duration(v)*time.Millisecond))
		}
		return out
	}
	for name, c := range map[string]struct {
		at                  int
		others, lost        []time.Time
		current, superseded bool
	}{
		"store answers":                       {at: 1000, others: ms(900), current: true},
		"store unreachable for all":           {at: 3000, others: ms(200, -400), current: true},
		"others lost the store later":         {at: 3000, others: ms(500), current: true},
		"another process reaches the store":   {at: 1500, others: ms(200, 1400), superseded: true},
		"another process may reach the store": {at: 1500, others: ms(800)},
		"outage too long":                     {at: 9000, others: ms(200)},
		"process lost with the store":         {at: 3000, others: ms(200), lost: ms(100)},
		"process lost long before":            {at: 3000, others: ms(200), lost: ms(-5000), current: true},
		"process lost well into the outage":   {at: 5000, others: ms(200), lost: ms(2500), current: true},
		"others answered before, none lost":   {at: 5000, others: ms(-2000), current: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := succession.TermEvidence{LastAnswer: now, OtherAnswers: slices.Values(c.others), LostContacts: slices.Values(c.lost)}
			at := now.Add(time.Duration(c.at) * time.Millisecond)
			g.Expect(e.Current(at)).To(Equal(c.current))
			_, superseded := e.Superseded(at)
			g.Expect(superseded).To(Equal(c.superseded))
		})
	}
}

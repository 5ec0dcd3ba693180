package succession_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// The store answered the scheduler last at 0; times are relative to that.
func TestTermEvidence(t *testing.T) {
	ms := func(ts ...int) (out []time.Time) {
		for _, v := range ts {
			out = append(out, now.Add(time.Duration(v)*time.Millisecond))
		}
		return out
	}
	for name, c := range map[string]struct {
		at                 int
		others, lost       []time.Time
		newest, superseded bool
	}{
		"the store answers":                       {at: 1000, others: ms(900), newest: true},
		"away for all":                            {at: 3000, others: ms(200, -400), newest: true},
		"away for all, others noticed later":      {at: 3000, others: ms(500), newest: true},
		"another reaches it":                      {at: 1500, others: ms(200, 1400), superseded: true},
		"another may reach it":                    {at: 1500, others: ms(800)},
		"away for too long":                       {at: 9000, others: ms(200)},
		"one fell silent with the store":          {at: 3000, others: ms(200), lost: ms(100)},
		"one was lost long before":                {at: 3000, others: ms(200), lost: ms(-5000), newest: true},
		"one was heard well into the outage":      {at: 5000, others: ms(200), lost: ms(2500), newest: true},
		"others answered before, nothing is lost": {at: 5000, others: ms(-2000), newest: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x := succession.TermEvidence{LastAnswer: now, OtherAnswers: slices.Values(c.others), LostContacts: slices.Values(c.lost)}
			at := now.Add(time.Duration(c.at) * time.Millisecond)
			g.Expect(x.Current(at)).To(Equal(c.newest))
			_, superseded := x.Superseded(at)
			g.Expect(superseded).To(Equal(c.superseded))
		})
	}
}

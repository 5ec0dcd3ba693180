package succession_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// after returns the times the given numbers of milliseconds after now.
func after(ms ...int) (out []time.Time) {
	for _, v := range ms {
		out = append(out, now.Add(time.Duration(v)*time.Millisecond))
	}
	return out
}

// lost returns a member from which nothing arrived later than the given time in milliseconds, which
// is also when it was answered last.
func lost(at int) succession.Member {
	return succession.Member{LastAnswered: after(at)[0], LastEchoed: after(at)[0]}
}

// All times are in milliseconds after the store's last answer to the leader.
func TestTermEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		at                        int
		others                    []time.Time
		members                   []succession.Member
		renew, superseded, notice bool
	}{
		"store answers":                        {at: 500, others: after(400), members: []succession.Member{lost(-100)}, renew: true},
		"store has missed two renewals":        {at: 1000, others: after(900), members: []succession.Member{lost(-100)}, renew: true, notice: true},
		"store unreachable for all":            {at: 3000, others: after(200, -400), members: []succession.Member{lost(2500), lost(2900)}, renew: true, notice: true},
		"others lost the store later":          {at: 3000, others: after(500), members: []succession.Member{lost(2900)}, renew: true, notice: true},
		"another process reaches the store":    {at: 1500, others: after(200, 1400), members: []succession.Member{lost(1400)}, superseded: true, notice: true},
		"another process may reach the store":  {at: 1500, others: after(800), members: []succession.Member{lost(1400)}, notice: true},
		"outage too long":                      {at: 9000, others: after(200), members: []succession.Member{lost(8900)}, notice: true},
		"member lost with the store":           {at: 3000, others: after(200), members: []succession.Member{lost(2900), lost(100)}, notice: true},
		"member lost shortly before the store": {at: 3000, others: after(200), members: []succession.Member{lost(-1900)}, notice: true},
		"member lost before its notice":        {at: 3000, others: after(200), members: []succession.Member{lost(600)}, notice: true},
		"member lost after its notice":         {at: 3000, others: after(200), members: []succession.Member{lost(601)}, renew: true, notice: true},
		"member lost long before":              {at: 3000, others: after(200), members: []succession.Member{lost(-5000)}, renew: true, notice: true},
		"member lost well into the outage":     {at: 5000, others: after(200), members: []succession.Member{lost(2500)}, renew: true, notice: true},
		"others answered before, none lost":    {at: 5000, others: after(-2000), renew: true, notice: true},
		"member in touch without a notice yet": {at: 1300, members: []succession.Member{lost(200)}, renew: true, notice: true},
		"member without an echo":               {at: 1300, members: []succession.Member{{LastAnswered: after(1200)[0]}}, notice: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := succession.TermEvidence{LastAnswer: now, OtherAnswers: slices.Values(c.others), Members: slices.Values(c.members)}
			at := now.Add(time.Duration(c.at) * time.Millisecond)
			g.Expect(e.MayRenew(at)).To(Equal(c.renew))
			_, superseded := e.Superseded(at)
			g.Expect(superseded).To(Equal(c.superseded))
			g.Expect(e.OutageAge(at) > 0).To(Equal(c.notice))
		})
	}
}

// Whatever the members report, only a valid lease of the leader itself lets it start elsewhere what ran on a
// lost host: in a later term that host may have a new lease (review/11, TWICE).
func TestTasksOfLostHostsAreFreedUnderAValidLeaseOnly(t *testing.T) {
	g := NewWithT(t)
	for _, members := range [][]succession.Member{nil, {lost(1000)}, {lost(-5000), lost(4900)}} {
		e := succession.TermEvidence{LastAnswer: now, OtherAnswers: slices.Values(after(100)), Members: slices.Values(members)}
		g.Expect(e.MayFree(now.Add(succession.LeaderLeaseTTL - 1))).To(BeTrue())
		g.Expect(e.MayFree(now.Add(succession.LeaderLeaseTTL))).To(BeFalse())
		g.Expect(e.MayFree(now.Add(5 * time.Second))).To(BeFalse())
	}
}

package straggle

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var baseTime = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

// newRun returns a run whose first report gave 0 % and whose progress last rose
// and was last reported at the given offsets from baseTime.
func newRun(percent int, lastProgress, lastReport time.Duration) Run {
	return Run{FirstReport: baseTime, LastProgress: baseTime.Add(lastProgress), LastReport: baseTime.Add(lastReport), Percent: percent, RestartCost: 500 * ms}
}

func TestJudge(t *testing.T) {
	resumable := newRun(50, time.Second, 2*time.Second)
	resumable.Resumable = true
	replaced := newRun(10, 500*ms, 1700*ms)
	replaced.PriorReplacements = 3
	for name, c := range map[string]struct {
		run      Run
		expected time.Duration
		want     Verdict
	}{
		"as fast as its peers":                {newRun(50, 500*ms, 500*ms), time.Second, Keep},
		"a third slower than its peers":       {newRun(37, 500*ms, 500*ms), time.Second, Keep},
		"six times slower":                    {newRun(17, time.Second, time.Second), time.Second, Slow},
		"six times slower, nearly done":       {newRun(83, 5*time.Second, 5*time.Second), time.Second, Keep},
		"two reports without progress":        {newRun(40, 500*ms, 1700*ms), time.Second, Stalled},
		"one report without progress":         {newRun(40, 500*ms, 1000*ms), time.Second, Keep},
		"no progress from the start":          {newRun(0, 0, 1200*ms), time.Second, Stalled},
		"long task with rare progress":        {newRun(10, 6*time.Second, 11*time.Second), time.Minute, Keep},
		"too slow for an estimate":            {newRun(3, 5*time.Second, 5*time.Second), time.Second, Slow},
		"checkpoint shortens the replacement": {resumable, 1500 * ms, Keep},
		"replaced three times before":         {replaced, time.Second, Keep},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Judge(c.run, c.expected)).To(Equal(c.want))
		})
	}
}

func TestMedian(t *testing.T) {
	g := NewWithT(t)
	var p PeerDurations
	_, ok := p.Median([]Run{newRun(50, 500*ms, 500*ms), newRun(2, time.Second, time.Second)})
	g.Expect(ok).To(BeFalse(), "one peer is too few")
	p.Add(900 * ms)
	p.Add(1100 * ms)
	d, ok := p.Median([]Run{newRun(10, time.Second, time.Second)})
	g.Expect(ok).To(BeTrue())
	g.Expect(d).To(Equal(1100 * ms))
	g.Expect(p.IsSlow(5*time.Second)).To(BeFalse(), "two peers are too few")
	p.Add(1000 * ms)
	g.Expect(p.IsSlow(5 * time.Second)).To(BeTrue())
	g.Expect(p.IsSlow(2 * time.Second)).To(BeFalse())
}

// A run that progresses as fast as its peers is never replaced, however long they take.
func TestRunsAsFastAsTheirPeersAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(200, 600_000).Draw(t, "whole")) * ms
		reportedAt := time.Duration(rapid.Int64Range(int64(duration/100), int64(duration)).Draw(t, "told"))
		percent := int(100 * reportedAt / duration)
		// The last progress is at most one percent or one reporting window ago.
		progressedAt := reportedAt - min(reportedAt, max(duration/100, 500*ms))
		r := Run{FirstReport: baseTime, LastProgress: baseTime.Add(reportedAt), LastReport: baseTime.Add(reportedAt), Percent: percent, RestartCost: 500 * ms}
		if v := Judge(r, duration); v != Keep {
			t.Fatalf("a run of %v at %d %% after %v: %v", duration, percent, reportedAt, v)
		}
		r.LastProgress = baseTime.Add(progressedAt)
		if v := Judge(r, duration); v == Stalled {
			t.Fatalf("a run of %v that progressed %v ago counts as stalled", duration, reportedAt-progressedAt)
		}
	})
}

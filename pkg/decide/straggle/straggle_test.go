package straggle

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var baseTime = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

// newRun returns a run that was seen first newRun 0 % and told last after told.
func newRun(percent int, rose, told time.Duration) Run {
	return Run{FirstReport: baseTime, LastProgress: baseTime.Add(rose), LastReport: baseTime.Add(told), Percent: percent, RestartCost: 500 * ms}
}

func TestJudge(t *testing.T) {
	saved := newRun(50, time.Second, 2*time.Second)
	saved.Resumable = true
	again := newRun(10, 500*ms, 1700*ms)
	again.PriorReplacements = 3
	for name, c := range map[string]struct {
		run     Run
		typical time.Duration
		want    Verdict
	}{
		"as its peers":                          {newRun(50, 500*ms, 500*ms), time.Second, Keep},
		"a third slower than its peers":         {newRun(37, 500*ms, 500*ms), time.Second, Keep},
		"six times slower":                      {newRun(17, time.Second, time.Second), time.Second, Slow},
		"six times slower, nearly done":         {newRun(83, 5*time.Second, 5*time.Second), time.Second, Keep},
		"stands still":                          {newRun(40, 500*ms, 1700*ms), time.Second, Stalled},
		"one figure without progress":           {newRun(40, 500*ms, 1000*ms), time.Second, Keep},
		"no progress from the start":            {newRun(0, 0, 1200*ms), time.Second, Stalled},
		"long work rises seldom":                {newRun(10, 6*time.Second, 11*time.Second), time.Minute, Keep},
		"too slow to be measured":               {newRun(3, 5*time.Second, 5*time.Second), time.Second, Slow},
		"what was saved shortens the other run": {saved, 1500 * ms, Keep},
		"what was given up thrice goes on":      {again, time.Second, Keep},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Judge(c.run, c.typical)).To(Equal(c.want))
		})
	}
}

func TestMedian(t *testing.T) {
	g := NewWithT(t)
	var p PeerDurations
	_, ok := p.Median([]Run{newRun(50, 500*ms, 500*ms), newRun(2, time.Second, time.Second)})
	g.Expect(ok).To(BeFalse(), "one peer tells nothing")
	p.Add(900 * ms)
	p.Add(1100 * ms)
	d, ok := p.Median([]Run{newRun(10, time.Second, time.Second)})
	g.Expect(ok).To(BeTrue())
	g.Expect(d).To(Equal(1100 * ms))
	g.Expect(p.IsSlow(5*time.Second)).To(BeFalse(), "two peers tell nothing")
	p.Add(1000 * ms)
	g.Expect(p.IsSlow(5 * time.Second)).To(BeTrue())
	g.Expect(p.IsSlow(2 * time.Second)).To(BeFalse())
}

// A run that goes on as its peers do is never given up, whatever they take.
func TestRunsAsFastAsTheirPeersAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := time.Duration(rapid.IntRange(200, 600_000).Draw(t, "whole")) * ms
		told := time.Duration(rapid.Int64Range(int64(whole/100), int64(whole)).Draw(t, "told"))
		percent := int(100 * told / whole)
		// The last rise is at most a percent or a window of the figures ago.
		rose := told - min(told, max(whole/100, 500*ms))
		r := Run{FirstReport: baseTime, LastProgress: baseTime.Add(told), LastReport: baseTime.Add(told), Percent: percent, RestartCost: 500 * ms}
		if v := Judge(r, whole); v != Keep {
			t.Fatalf("a run of %v at %d %% after %v: %v", whole, percent, told, v)
		}
		r.LastProgress = baseTime.Add(rose)
		if v := Judge(r, whole); v == Stalled {
			t.Fatalf("a run of %v whose progress rose %v ago stands still", whole, told-rose)
		}
	})
}

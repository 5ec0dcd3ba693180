package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/explain"
)

// scheduler is the log of the entries, one of which is the scheduler.
const scheduler = `  1.0 edge-1 {"time":"2026-01-01T10:00:00.100Z","node":"edge-1","event":"jobAccepted","job":"aa","took":12}
{"time":"2026-01-01T10:00:00.110Z","node":"edge-2","event":"jobQueued","job":"aa","queue":"q"}
{"time":"2026-01-01T10:00:00.120Z","node":"edge-2","event":"runOrdered","job":"aa","task":"aa.0.0.0","run":1,"worker":"w1"}
not a line
{"time":"2026-01-01T10:00:01.000Z","node":"edge-2","event":"workerGone","worker":"w2","why":"left"}
{"time":"2026-01-01T10:00:01.100Z","node":"edge-2","event":"workerGone","worker":"w1","why":"lease lapsed"}
{"time":"2026-01-01T10:00:01.110Z","node":"edge-2","event":"runOrdered","job":"aa","task":"aa.0.0.0","run":2,"worker":"w3"}
{"time":"2026-01-01T10:00:02.110Z","node":"edge-2","event":"runEnded","job":"aa","task":"aa.0.0.0","run":2,"how":"done","worker":"w3"}
{"time":"2026-01-01T10:00:02.200Z","node":"edge-2","event":"jobEnded","job":"aa","state":"completed","stored":80}
{"time":"2026-01-01T10:00:02.300Z","node":"edge-1","event":"jobRefused","job":"bb","storeDown":true,"retryAfter":2000}`

// host is the log of a host whose clock is two seconds behind.
const host = `{"time":"2026-01-01T09:59:58.130Z","node":"side-1","event":"runStarted","job":"aa","task":"aa.0.0.0","run":1,"worker":"w1"}`

func TestTimelineOfADelayedJob(t *testing.T) {
	g := NewWithT(t)
	timeline, err := explain.Read("aa", strings.NewReader(scheduler), strings.NewReader(host))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timeline.UnparsedLines).To(Equal(1))
	g.Expect(timeline.Lines[0].Event).To(Equal("jobAccepted"))
	g.Expect(timeline.Lines[3].Event).To(Equal("runStarted"), "a run does not start before it was ordered")
	g.Expect(timeline.Lines[3].ClockShift).To(Equal(1990 * time.Millisecond))
	g.Expect(timeline.Gaps).To(HaveLen(2))
	g.Expect(timeline.Gaps[0].During).To(HaveLen(1), "only events of the job's workers")
	g.Expect(timeline.Gaps[0].During[0].Reason).To(Equal("lease lapsed"))
	g.Expect(timeline.Outcome).To(HavePrefix("ended as completed"))
	var b bytes.Buffer
	g.Expect(timeline.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("lease lapsed"))
}

func TestOutcomes(t *testing.T) {
	for id, want := range map[string]string{"bb": "refused: the store was away", "cc": "no log tells"} {
		timeline, err := explain.Read(id, strings.NewReader(scheduler))
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(timeline.Outcome).To(HavePrefix(want))
	}
}

// Reads the logs of real processes: a takeover by another scheduler, a store
// outage, a worker on which runs fail, and a caller that submits an accepted job again.
func TestTimelinesFromRealLogs(t *testing.T) {
	for name, c := range map[string]struct {
		job, outcome string
		// events must appear in the text of the timeline in this order.
		events []string
	}{
		"takeover":   {"9adc40df6b1e05b6", "ended as completed", []string{"jobAccepted", "leadTaken", "settled", "runStarted", "jobEnded"}},
		"storeAway":  {"bcd194d856c422ea", "ended as completed", []string{"jobRefused", "jobAccepted", "runStarted", "jobEnded"}},
		"greyWorker": {"de35290f194dfaaa", "ended as completed", []string{"runStarted", "runEnded", "runOrdered", "jobEnded"}},
		"sentAgain":  {"3487bf5290c5eba3", "ended as completed", []string{"jobAccepted", "jobEnded"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, err := os.Open("testdata/" + name + ".log")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = f.Close() }()
			timeline, err := explain.Read(c.job, f)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(timeline.UnparsedLines).To(BeZero())
			g.Expect(timeline.Outcome).To(HavePrefix(c.outcome))
			var b bytes.Buffer
			g.Expect(timeline.Write(&b)).To(Succeed())
			rest := b.String()
			for _, x := range c.events {
				_, after, found := strings.Cut(rest, x)
				g.Expect(found).To(BeTrue(), "%s is missing or out of order", x)
				rest = after
			}
		})
	}
}

// A gap contains the quarantines of workers of the job, but not those of other workers.
func TestGapContainsQuarantinesOfWorkersOfTheJob(t *testing.T) {
	const log = `{"time":"2026-01-01T10:00:00.100Z","node":"e","event":"runOrdered","job":"aa","task":"aa.0.0.0","run":1,"worker":"w1"}
{"time":"2026-01-01T10:00:01.000Z","node":"e","event":"workerSetAside","worker":"w1","why":"runs fail","job":"bb","for":2000,"round":1}
{"time":"2026-01-01T10:00:01.100Z","node":"e","event":"workerSetAside","worker":"w2","why":"runs are held up","job":"bb","for":2000,"round":1}
{"time":"2026-01-01T10:00:03.000Z","node":"e","event":"runEnded","job":"aa","task":"aa.0.0.0","run":1,"how":"failed","worker":"w1"}`
	g := NewWithT(t)
	timeline, err := explain.Read("aa", strings.NewReader(log))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timeline.Gaps).To(HaveLen(1))
	g.Expect(timeline.Gaps[0].During).To(HaveLen(1))
	g.Expect(timeline.Gaps[0].During[0].Reason).To(Equal("runs fail"))
}

// Package explain builds the timeline of one job from the logs of several
// processes: the decisions about it, and the other events that may have delayed it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
)

// maxLineBytes bounds the length of a log line; the processes write no longer ones.
const maxLineBytes = 1 << 20

// A Line is a parsed log line.
type Line struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  string         `json:"event"`
	Job    string         `json:"job,omitempty"`
	Task   string         `json:"task,omitempty"`
	Run    int            `json:"run,omitempty"`
	Reason string         `json:"why,omitempty"`
	Fields map[string]any `json:"fields"`
	// ClockShift is the correction for the node's clock that Time includes.
	ClockShift time.Duration `json:"shiftNs,omitempty"`
}

// A Timeline is the course of a job according to the logs.
type Timeline struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Gaps are the intervals without an event of the unfinished job.
	Gaps []Gap `json:"gaps"`
	// Outcome describes the result of the job, or its last event.
	Outcome string `json:"outcome"`
	// UnparsedLines counts the lines that could not be parsed.
	UnparsedLines int `json:"unread"`
}

// A Gap is an interval without an event of the job.
type Gap struct {
	From     time.Time     `json:"from"`
	Duration time.Duration `json:"tookNs"`
	// During are the events in that interval that concern the job's workers, the hosts, the store or the scheduler.
	During []Line `json:"during"`
}

// minGap is the shortest interval without an event that is reported: half of the smallest known objective.
const minGap = 300 * time.Millisecond

// Read builds the timeline of a job from logs. Text before the first brace of a line is ignored.
func Read(id string, logs ...io.Reader) (Timeline, error) {
	t := Timeline{Job: id}
	var jobLines, context []Line
	workers := map[string]bool{}
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			l, ok := parseLine(scanner.Bytes())
			if !ok {
				t.UnparsedLines++
				continue
			}
			switch {
			case l.Job == id || strings.HasPrefix(l.Task, id+"."):
				jobLines = append(jobLines, l)
				if w, ok := l.Fields["worker"].(string); ok {
					workers[w] = true
				}
			case contextEvents[l.Event]:
				context = append(context, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return t, fmt.Errorf("explain: %w", err)
		}
	}
	alignClocks(jobLines, context)
	sort.SliceStable(jobLines, func(i, j int) bool { return jobLines[i].Time.Before(jobLines[j].Time) })
	sort.SliceStable(context, func(i, j int) bool { return context[i].Time.Before(context[j].Time) })
	t.Lines = jobLines
	t.Gaps = findGaps(jobLines, context, workers)
	t.Outcome = describeOutcome(jobLines)
	return t, nil
}

func parseLine(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var l Line
	if json.Unmarshal(b[i:], &l.Fields) != nil {
		return Line{}, false
	}
	text := func(k string) string {
		v, _ := l.Fields[k].(string)
		return v
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil || text("event") == "" {
		return Line{}, false
	}
	l.Time, l.Node, l.Event, l.Job, l.Task, l.Reason = at, text("node"), text("event"), text("job"), text("task"), text("why")
	if n, ok := l.Fields["run"].(float64); ok {
		l.Run = int(n)
	}
	return l, true
}

// contextEvents are the events that may explain a gap in the timeline of any job.
var contextEvents = map[string]bool{
	eventlog.LeadershipAcquired: true, eventlog.LeadershipLost: true, eventlog.StateLoaded: true, eventlog.TakeoverCompleted: true,
	eventlog.SchedulerLost: true, eventlog.SchedulerFound: true, eventlog.StoreLost: true, eventlog.StoreRecovered: true,
	eventlog.WorkerQuarantined: true, eventlog.WorkerReleased: true,
	eventlog.HostLost: true, eventlog.WorkerRemoved: true, eventlog.WorkerUnreachable: true, eventlog.WorkerChanged: true,
	eventlog.ProgressNotStored: true, eventlog.ProcessStarted: true, eventlog.ProcessStopping: true, eventlog.WorkerJoined: true,
}

// alignClocks moves the times of nodes whose clocks are behind, so that no run starts before it was ordered.
func alignClocks(jobLines, context []Line) {
	type run struct {
		task string
		run  int
	}
	orders := map[run]Line{}
	for _, l := range jobLines {
		if l.Event == eventlog.RunOrdered {
			orders[run{l.Task, l.Run}] = l
		}
	}
	shifts := map[string]time.Duration{}
	for _, l := range jobLines {
		o, ok := orders[run{l.Task, l.Run}]
		if ok && l.Event == eventlog.RunStarted && l.Node != o.Node {
			shifts[l.Node] = max(shifts[l.Node], o.Time.Sub(l.Time))
		}
	}
	for _, lines := range [][]Line{jobLines, context} {
		for i := range lines {
			if d := shifts[lines[i].Node]; d > 0 {
				lines[i].Time, lines[i].ClockShift = lines[i].Time.Add(d), d
			}
		}
	}
}

func findGaps(jobLines, context []Line, workers map[string]bool) []Gap {
	var out []Gap
	for i := 1; i < len(jobLines); i++ {
		from, to := jobLines[i-1].Time, jobLines[i].Time
		if to.Sub(from) < minGap {
			continue
		}
		gap := Gap{From: from, Duration: to.Sub(from)}
		for _, l := range context {
			w, named := l.Fields["worker"].(string)
			if l.Time.Before(from) || l.Time.After(to) || named && !workers[w] {
				continue
			}
			gap.During = append(gap.During, l)
		}
		out = append(out, gap)
	}
	return out
}

// describeOutcome describes the result of the job, or its last event.
func describeOutcome(jobLines []Line) string {
	if len(jobLines) == 0 {
		return "no log tells of the job: it reached no process whose log was given"
	}
	var refused *Line
	accepted := false
	for i := range jobLines {
		switch l := &jobLines[i]; l.Event {
		case eventlog.JobEnded:
			return fmt.Sprintf("ended as %v, stored %.0f ms after", l.Fields["state"], numberOrZero(l.Fields["stored"]))
		case eventlog.JobAccepted, eventlog.JobQueued:
			accepted = true
		case eventlog.JobRefused:
			refused = l
		}
	}
	switch {
	case accepted || refused == nil:
	case refused.Fields["why"] != nil:
		return "refused: there was too little room for it to be of use; the caller was told to come back"
	case refused.Fields["storeDown"] == true:
		return "refused: the store was away, so the job couldn't be kept; the caller was told to come back"
	default:
		return "refused; the caller was told to come back"
	}
	return "not over at the end of the logs; last event: " + jobLines[len(jobLines)-1].Event
}

func numberOrZero(v any) float64 {
	n, _ := v.(float64)
	return n
}

// Write writes the timeline as text.
func (t Timeline) Write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "job %s: %s\n", t.Job, t.Outcome)
	if len(t.Lines) > 0 {
		first := t.Lines[0].Time
		gap := 0
		for i, l := range t.Lines {
			fmt.Fprintf(&b, "%9.3f s  %-16s %-16s %s\n", l.Time.Sub(first).Seconds(), l.Node, l.Event, formatFields(l))
			if gap < len(t.Gaps) && t.Gaps[gap].From.Equal(l.Time) && i+1 < len(t.Lines) && !t.Lines[i+1].Time.Equal(l.Time) {
				for _, d := range t.Gaps[gap].During {
					fmt.Fprintf(&b, "%9.3f s  | %-14s %-16s %s\n", d.Time.Sub(first).Seconds(), d.Node, d.Event, formatFields(d))
				}
				fmt.Fprintf(&b, "%9s    | no events for %.1f s\n", "", t.Gaps[gap].Duration.Seconds())
				gap++
			}
		}
	}
	if t.UnparsedLines > 0 {
		fmt.Fprintf(&b, "%d lines could not be parsed\n", t.UnparsedLines)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// formatFields formats the fields of a line that Write does not print in columns of their own.
func formatFields(l Line) string {
	var keys []string
	for k := range l.Fields {
		switch k {
		case "time", "level", "node", "event", "job", "message":
		default:
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		v := l.Fields[k]
		if s, ok := v.(string); ok && k == "task" {
			v = strings.TrimPrefix(s, l.Job+".")
		}
		if n, ok := v.(float64); ok {
			fmt.Fprintf(&b, "%s=%g ", k, n)
			continue
		}
		fmt.Fprintf(&b, "%s=%v ", k, v)
	}
	return strings.TrimSpace(b.String())
}

// Package explain reads the logs of several processes and tells the story of
// one job: what was decided about it, by what, and what went on around it.
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

// maxLine bounds a log line in bytes; longer ones are no lines of ours.
const maxLine = 1 << 20

// A Line is one line of a log.
type Line struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  string         `json:"event"`
	Job    string         `json:"job,omitempty"`
	Task   string         `json:"task,omitempty"`
	Run    int            `json:"run,omitempty"`
	Reason string         `json:"why,omitempty"`
	Fields map[string]any `json:"fields"`
	// ClockShift is by how much the node's clock was moved to fit the scheduler's.
	ClockShift time.Duration `json:"shiftNs,omitempty"`
}

// A Timeline is what the logs tell of a job.
type Timeline struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Gaps are the times in which nothing happened to the job though it wasn't over.
	Gaps []Gap `json:"gaps"`
	// Outcome is the last that was decided about the job, in words.
	Outcome string `json:"outcome"`
	// UnparsedLines counts the lines that couldn't be read.
	UnparsedLines int `json:"unread"`
}

// A Gap is a time in which nothing happened to the job.
type Gap struct {
	From     time.Time     `json:"from"`
	Duration time.Duration `json:"tookNs"`
	// During are the events of that time that concern the job's workers or the scheduler.
	During []Line `json:"during"`
}

// gapTime is the shortest time without an event that is told: half of the least objective known.
const gapTime = 300 * time.Millisecond

// Read tells the story of a job from logs. Text before a line's first brace is passed over.
func Read(id string, logs ...io.Reader) (Timeline, error) {
	s := Timeline{Job: id}
	var own, around []Line
	workers := map[string]bool{}
	for _, r := range logs {
		b := bufio.NewScanner(r)
		b.Buffer(make([]byte, 64<<10), maxLine)
		for b.Scan() {
			l, ok := parse(b.Bytes())
			if !ok {
				s.UnparsedLines++
				continue
			}
			switch {
			case l.Job == id || strings.HasPrefix(l.Task, id+"."):
				own = append(own, l)
				if w, ok := l.Fields["worker"].(string); ok {
					workers[w] = true
				}
			case surrounding[l.Event]:
				around = append(around, l)
			}
		}
		if err := b.Err(); err != nil {
			return s, fmt.Errorf("explain: %w", err)
		}
	}
	shift(own, around)
	sort.SliceStable(own, func(i, j int) bool { return own[i].Time.Before(own[j].Time) })
	sort.SliceStable(around, func(i, j int) bool { return around[i].Time.Before(around[j].Time) })
	s.Lines = own
	s.Gaps = gaps(own, around, workers)
	s.Outcome = outcome(own)
	return s, nil
}

func parse(b []byte) (Line, bool) {
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

// surrounding are the events that may explain a gap of any job.
var surrounding = map[string]bool{
	eventlog.LeadershipAcquired: true, eventlog.LeadershipLost: true, eventlog.StateLoaded: true, eventlog.TakeoverCompleted: true,
	eventlog.SchedulerLost: true, eventlog.SchedulerFound: true, eventlog.StoreLost: true, eventlog.StoreRecovered: true,
	eventlog.WorkerQuarantined: true, eventlog.WorkerReleased: true,
	eventlog.HostLost: true, eventlog.WorkerRemoved: true, eventlog.WorkerUnreachable: true, eventlog.WorkerChanged: true,
	eventlog.ProgressNotStored: true, eventlog.ProcessStarted: true, eventlog.ProcessStopping: true, eventlog.WorkerJoined: true,
}

// shift moves the clocks of the hosts so that no run starts before it was ordered.
func shift(own, around []Line) {
	type run struct {
		task string
		run  int
	}
	ordered := map[run]Line{}
	for _, l := range own {
		if l.Event == eventlog.RunOrdered {
			ordered[run{l.Task, l.Run}] = l
		}
	}
	by := map[string]time.Duration{}
	for _, l := range own {
		o, ok := ordered[run{l.Task, l.Run}]
		if ok && l.Event == eventlog.RunStarted && l.Node != o.Node {
			by[l.Node] = max(by[l.Node], o.Time.Sub(l.Time))
		}
	}
	for _, ls := range [][]Line{own, around} {
		for i := range ls {
			if d := by[ls[i].Node]; d > 0 {
				ls[i].Time, ls[i].ClockShift = ls[i].Time.Add(d), d
			}
		}
	}
}

func gaps(own, around []Line, workers map[string]bool) []Gap {
	var out []Gap
	for i := 1; i < len(own); i++ {
		from, to := own[i-1].Time, own[i].Time
		if to.Sub(from) < gapTime {
			continue
		}
		g := Gap{From: from, Duration: to.Sub(from)}
		for _, l := range around {
			w, named := l.Fields["worker"].(string)
			if l.Time.Before(from) || l.Time.After(to) || named && !workers[w] {
				continue
			}
			g.During = append(g.During, l)
		}
		out = append(out, g)
	}
	return out
}

// outcome says in words how the job stands.
func outcome(own []Line) string {
	if len(own) == 0 {
		return "no log tells of the job: it reached no process whose log was given"
	}
	var refused *Line
	accepted := false
	for i := range own {
		switch l := &own[i]; l.Event {
		case eventlog.JobEnded:
			return fmt.Sprintf("ended as %v, stored %.0f ms after", l.Fields["state"], number(l.Fields["stored"]))
		case eventlog.JobAccepted, eventlog.JobQueued:
			accepted = true
		case eventlog.JobRefused:
			refused = l
		}
	}
	switch {
	case accepted || refused == nil:
	case refused.Fields["storeDown"] == true:
		return "refused: the store was away, so the job couldn't be kept; the caller was told to come back"
	default:
		return "refused; the caller was told to come back"
	}
	return "not over at the end of the logs; last event: " + own[len(own)-1].Event
}

func number(v any) float64 {
	n, _ := v.(float64)
	return n
}

// Write prints a story as text.
func (s Timeline) Write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "job %s: %s\n", s.Job, s.Outcome)
	if len(s.Lines) > 0 {
		first := s.Lines[0].Time
		gap := 0
		for i, l := range s.Lines {
			fmt.Fprintf(&b, "%9.3f s  %-16s %-16s %s\n", l.Time.Sub(first).Seconds(), l.Node, l.Event, detail(l))
			if gap < len(s.Gaps) && s.Gaps[gap].From.Equal(l.Time) && i+1 < len(s.Lines) && !s.Lines[i+1].Time.Equal(l.Time) {
				for _, d := range s.Gaps[gap].During {
					fmt.Fprintf(&b, "%9.3f s  | %-14s %-16s %s\n", d.Time.Sub(first).Seconds(), d.Node, d.Event, detail(d))
				}
				fmt.Fprintf(&b, "%9s    | nothing for %.1f s\n", "", s.Gaps[gap].Duration.Seconds())
				gap++
			}
		}
	}
	if s.UnparsedLines > 0 {
		fmt.Fprintf(&b, "%d lines were no log lines\n", s.UnparsedLines)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// detail prints the fields that decided.
func detail(l Line) string {
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

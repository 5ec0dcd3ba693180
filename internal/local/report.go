package local

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Result is the last line of the report.
type Result struct {
	Lost       int  `json:"lost"`
	Duplicates int  `json:"twice"`
	FloorsKept bool `json:"floorsKept"`
	// FalseNotRuns counts requests that were told not to have run and ran.
	FalseNotRuns int `json:"untrue"`
	// Mismatched counts answers to another request.
	Mismatched int `json:"wrong"`
	// Resumed counts evicted tasks that started again from their checkpoint.
	Resumed int `json:"resumed"`
}

// report prints the table and returns the counts.
func (d *Demo) report() (Result, error) {
	r := Result{FloorsKept: true, Resumed: d.cluster.WorkerRecorder.Counts().Resumed}
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\toffered\tkept\tin flood/floor\trefused\tunknown\tp50\tp99\tlost\ttwice\t")
	for _, row := range DemoTable().Rows {
		if row.Class == table.ClassRequest {
			d.line(w, row, &r)
		}
	}
	unfinished := d.unfinished()
	twice := d.cluster.WorkerRecorder.Counts().Duplicates
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t\t\t\t\t\t%d\t%d\t\n", kindForecast, len(d.jobs)*demoTasks, len(d.jobs)*demoTasks-unfinished, unfinished, twice)
	r.Lost += unfinished
	r.Duplicates += twice
	r.FalseNotRuns = len(d.callers.FalseNotRuns(d.cluster.TargetRecorder.Runs))
	return r, w.Flush()
}

// line prints one kind of requests.
func (d *Demo) line(w io.Writer, row table.Row, r *Result) {
	t := d.callers.Stats(row.Kind)
	twice := 0
	if row.Unrepeatable {
		for _, id := range d.cluster.TargetRecorder.Repeated() {
			if strings.HasPrefix(id, string(row.Kind)) {
				twice++
			}
		}
	}
	f := d.callers.FloodStats(row.Kind)
	floor := d.floor(row, f)
	if float64(f.Answered) < keptShare*float64(floor) {
		r.FloorsKept = false
	}
	r.Lost += t.Broken
	r.Duplicates += twice
	r.Mismatched += t.Mismatched
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d/%d\t%d\t%d\t%s\t%s\t%d\t%d\t\n", row.Kind, t.Offered, t.Answered, f.Answered, floor, t.NotRun, t.Unknown,
		t.LatencyQuantile(0.5).Round(time.Millisecond), t.LatencyQuantile(0.99).Round(time.Millisecond), t.Broken, twice)
}

// floor is how many answers the floor owes the kind during the flood: what it
// offered, up to its share of what the targets that stayed alive could answer.
func (d *Demo) floor(row table.Row, t RequestStats) int {
	alive := len(d.cluster.Agents) - 2
	capacity := float64(alive*connections) * float64(floodUntil-floodAt) / float64(demoDelay)
	return int(min(float64(t.Offered), float64(row.Floor)*capacity))
}

func (d *Demo) verdict(r Result) error {
	b, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	d.printf("%s\n", b)
	if r.Lost > 0 || r.Duplicates > 0 || r.FalseNotRuns > 0 || r.Mismatched > 0 || !r.FloorsKept {
		return ErrGuaranteeBroken
	}
	return nil
}

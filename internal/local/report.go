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

// A Result is the summary that the demo prints as the last line of its report.
type Result struct {
	Lost       int  `json:"lost"`
	Duplicates int  `json:"twice"`
	FloorsKept bool `json:"floorsKept"`
	// FalseNotRuns counts requests that ran although they were answered "not run".
	FalseNotRuns int `json:"untrue"`
	// Mismatched counts answers that belong to another request.
	Mismatched int `json:"wrong"`
	// Resumed counts starts of evicted tasks from a checkpoint.
	Resumed int `json:"resumed"`
}

// report prints the table of results by kind and returns the summary.
func (d *Demo) report() (Result, error) {
	r := Result{FloorsKept: true, Resumed: d.cluster.WorkerRecorder.Counts().Resumed}
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\toffered\tkept\tin flood/floor\trefused\tunknown\tp50\tp99\tlost\ttwice\t")
	for _, row := range DemoTable().Rows {
		if row.Class == table.ClassRequest {
			d.reportKind(w, row, &r)
		}
	}
	unfinished := d.unfinishedTasks()
	duplicates := d.cluster.WorkerRecorder.Counts().Duplicates
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t\t\t\t\t\t%d\t%d\t\n", kindForecast, len(d.acceptedJobs)*demoTasksPerJob, len(d.acceptedJobs)*demoTasksPerJob-unfinished, unfinished, duplicates)
	r.Lost += unfinished
	r.Duplicates += duplicates
	r.FalseNotRuns = len(d.recorder.FalseNotRuns(d.cluster.TargetRecorder.Runs))
	return r, w.Flush()
}

// reportKind prints the row of one kind of requests and adds its counts to r.
func (d *Demo) reportKind(w io.Writer, row table.Row, r *Result) {
	stats := d.recorder.Stats(row.Kind)
	duplicates := 0
	if row.Unrepeatable {
		for _, id := range d.cluster.TargetRecorder.Repeated() {
			if strings.HasPrefix(id, string(row.Kind)) {
				duplicates++
			}
		}
	}
	flood := d.recorder.FloodStats(row.Kind)
	floor := d.requiredAnswers(row, flood)
	if float64(flood.Answered) < minFloorShareAnswered*float64(floor) {
		r.FloorsKept = false
	}
	r.Lost += stats.Broken
	r.Duplicates += duplicates
	r.Mismatched += stats.Mismatched
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d/%d\t%d\t%d\t%s\t%s\t%d\t%d\t\n", row.Kind, stats.Offered, stats.Answered, flood.Answered, floor, stats.NotRun, stats.Unknown,
		stats.LatencyQuantile(0.5).Round(time.Millisecond), stats.LatencyQuantile(0.99).Round(time.Millisecond), stats.Broken, duplicates)
}

// requiredAnswers returns how many requests of a kind must be answered during the
// flood for its floor to hold: the offered requests, up to the floor's share of what
// the targets that stay alive can answer.
func (d *Demo) requiredAnswers(row table.Row, flood RequestStats) int {
	alive := len(d.cluster.Agents) - 2
	capacity := float64(alive*connectionsPerTarget) * float64(floodEnd-floodStart) / float64(demoTargetDelay)
	return int(min(float64(flood.Offered), float64(row.Floor)*capacity))
}

// printResult prints r as JSON and returns ErrGuaranteeBroken if it shows a broken guarantee.
func (d *Demo) printResult(r Result) error {
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

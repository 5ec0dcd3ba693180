package flood

import (
	"fmt"
	"io"
	"time"
)

// A VariantResults is the results of one contender in one scenario.
type VariantResults struct {
	Scenario string
	Variant  string
	Results  []Result
}

// WriteTable writes a Markdown table with a row for each line, whose cells hold
// for each kind: kept / in time / p99 in ms / refused / late.
func WriteTable(w io.Writer, lines []VariantResults) error {
	if len(lines) == 0 {
		return nil
	}
	header, rule := "| scenario | policy |", "|---|---|"
	for _, r := range lines[0].Results {
		header += fmt.Sprintf(" %s |", r.Kind)
		rule += "---|"
	}
	if _, err := fmt.Fprintf(w, "%s\n%s\n", header, rule); err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.row()); err != nil {
			return err
		}
	}
	return nil
}

// row returns the line as a row of the table.
func (l VariantResults) row() string {
	s := fmt.Sprintf("| %s | %s |", l.Scenario, l.Variant)
	for i := range l.Results {
		r := &l.Results[i]
		p99 := float64(r.Quantile(0.99)) / float64(time.Millisecond)
		s += fmt.Sprintf(" %.2f / %.3f / %.0f / %d / %d |", r.FloorAttainment(), r.InTimeRatio(), p99, r.Refused, r.Late)
	}
	return s
}

package flood

import (
	"fmt"
	"io"
	"time"
)

// A VariantResults holds the results of one variant in one scenario.
type VariantResults struct {
	Scenario string
	Variant  string
	Results  []Result
}

// WriteTable writes a Markdown table with one row for each element of rows and one column
// for each kind. A cell holds the floor attainment, the in-time ratio, the 99th percentile
// latency in ms, and the numbers of refused and late requests.
func WriteTable(w io.Writer, rows []VariantResults) error {
	if len(rows) == 0 {
		return nil
	}
	header, rule := "| scenario | policy |", "|---|---|"
	for _, r := range rows[0].Results {
		header += fmt.Sprintf(" %s |", r.Kind)
		rule += "---|"
	}
	if _, err := fmt.Fprintf(w, "%s\n%s\n", header, rule); err != nil {
		return err
	}
	for _, v := range rows {
		if _, err := fmt.Fprintln(w, v.markdown()); err != nil {
			return err
		}
	}
	return nil
}

// markdown returns the results as a row of the Markdown table.
func (v VariantResults) markdown() string {
	s := fmt.Sprintf("| %s | %s |", v.Scenario, v.Variant)
	for i := range v.Results {
		r := &v.Results[i]
		p99 := float64(r.Quantile(0.99)) / float64(time.Millisecond)
		s += fmt.Sprintf(" %.2f / %.3f / %.0f / %d / %d |", r.FloorAttainment(), r.InTimeRatio(), p99, r.Refused, r.Late)
	}
	return s
}

package table

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Edit sets cells of the row of k, each given as column=value with a column of
// the CSV form, and checks the table. Errors wrap ErrInvalid.
func (t *Table) Edit(k fleet.Kind, cells []string) error {
	for i := range t.Rows {
		if t.Rows[i].Kind != k {
			continue
		}
		for _, c := range cells {
			if err := t.Rows[i].setCell(c); err != nil {
				return err
			}
		}
		return t.Check()
	}
	return errors.Wrapf(ErrInvalid, "no row of kind %q", k)
}

func (r *Row) setCell(cell string) error {
	name, value, ok := strings.Cut(cell, "=")
	c := findColumn(name)
	if !ok || c == nil {
		return errors.Wrapf(ErrInvalid, "%q is not column=value with a known column", cell)
	}
	if err := c.parseKind(r, value); err != nil {
		return errors.Wrapf(ErrInvalid, "%s: %v", name, err)
	}
	return nil
}

// A Difference is a row that differs between two tables, as text; the text of an absent row is empty.
type Difference struct {
	Name string
	Old  string
	New  string
}

// Diff returns the rows that differ between a and b: first those in b, then those only in a.
func Diff(a, b Table) []Difference {
	old := textByName(a)
	var out []Difference
	for _, r := range rowTexts(b) {
		if old[r.name] != r.text {
			out = append(out, Difference{Name: r.name, Old: old[r.name], New: r.text})
		}
		delete(old, r.name)
	}
	for _, r := range rowTexts(a) {
		if _, gone := old[r.name]; gone {
			out = append(out, Difference{Name: r.name, Old: r.text})
		}
	}
	return out
}

// A rowText is a row as text, with a name that is unique in the table.
type rowText struct {
	name string
	text string
}

func rowTexts(t Table) []rowText {
	var out []rowText
	for _, r := range t.Rows {
		out = append(out, rowText{name: fmt.Sprintf("kind %s", r.Kind), text: formatCells(kindRecord(r))})
	}
	for _, r := range t.Teams {
		out = append(out, rowText{name: fmt.Sprintf("team %s", r.Team), text: formatCells(teamRecord(r))})
	}
	return out
}

func textByName(t Table) map[string]string {
	out := make(map[string]string)
	for _, r := range rowTexts(t) {
		out[r.name] = r.text
	}
	return out
}

// formatCells formats a CSV record as column=value pairs and omits empty cells.
func formatCells(record []string) string {
	var out []string
	for i, f := range record[2:] {
		if f != "" && f != "0" && f != "0s" && f != "false" {
			out = append(out, columns[i+1].name+"="+f)
		}
	}
	return strings.Join(out, " ")
}

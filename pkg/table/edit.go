package table

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Edit sets cells of the row of k, each given as column=value with the
// columns of the CSV form, and checks the table. Errors are ErrInvalid.
func (t *Table) Edit(k fleet.Kind, cells []string) error {
	for i := range t.Rows {
		if t.Rows[i].Kind != k {
			continue
		}
		for _, c := range cells {
			if err := t.Rows[i].set(c); err != nil {
				return err
			}
		}
		return t.Check()
	}
	return errors.Wrapf(ErrInvalid, "no row of kind %q", k)
}

func (r *Row) set(cell string) error {
	name, value, ok := strings.Cut(cell, "=")
	c := columnNamed(name)
	if !ok || c == nil {
		return errors.Wrapf(ErrInvalid, "%q is not column=value with a known column", cell)
	}
	if err := c.readKind(r, value); err != nil {
		return errors.Wrapf(ErrInvalid, "%s: %v", name, err)
	}
	return nil
}

// A Difference is a row that two tables do not share; an absent row is empty.
type Difference struct {
	Name string
	Old  string
	New  string
}

// Diff returns the rows in which b differs from a, those of b first.
func Diff(a, b Table) []Difference {
	old := lines(a)
	var out []Difference
	for _, l := range ordered(b) {
		if old[l.name] != l.text {
			out = append(out, Difference{Name: l.name, Old: old[l.name], New: l.text})
		}
		delete(old, l.name)
	}
	for _, l := range ordered(a) {
		if _, gone := old[l.name]; gone {
			out = append(out, Difference{Name: l.name, Old: l.text})
		}
	}
	return out
}

// A line is a row as text under its name.
type line struct {
	name string
	text string
}

func ordered(t Table) []line {
	var out []line
	for _, r := range t.Rows {
		out = append(out, line{name: fmt.Sprintf("kind %s", r.Kind), text: cells(kindLine(r))})
	}
	for _, r := range t.Teams {
		out = append(out, line{name: fmt.Sprintf("team %s", r.Team), text: cells(teamLine(r))})
	}
	return out
}

func lines(t Table) map[string]string {
	out := make(map[string]string)
	for _, l := range ordered(t) {
		out[l.name] = l.text
	}
	return out
}

// cells writes a CSV line as column=value, leaving empty cells out.
func cells(fields []string) string {
	var out []string
	for i, f := range fields[2:] {
		if f != "" && f != "0" && f != "0s" && f != "false" {
			out = append(out, columns[i+1].name+"="+f)
		}
	}
	return strings.Join(out, " ")
}

package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The values of the first CSV column.
const (
	csvKind     = "kind"
	csvTeam     = "team"
	csvRevision = "revision"
)

// A column is one CSV column, how it is written and read for each sort of row.
type column struct {
	name     string
	kind     func(Row) string
	readKind func(*Row, string) error
	team     func(TeamRow) string
	readTeam func(*TeamRow, string) error
}

// columns are the CSV columns after the first, in order.
var columns = []column{
	{
		name:     "name",
		kind:     func(r Row) string { return string(r.Kind) },
		readKind: func(r *Row, s string) error { r.Kind = fleet.Kind(s); return nil },
		team:     func(r TeamRow) string { return string(r.Team) },
		readTeam: func(r *TeamRow, s string) error { r.Team = fleet.Team(s); return nil },
	},
	{
		name:     "class",
		kind:     func(r Row) string { return string(r.Class) },
		readKind: func(r *Row, s string) error { r.Class = Class(s); return nil },
	},
	{
		name:     "weight",
		kind:     func(r Row) string { return formatFloat(r.Weight) },
		readKind: func(r *Row, s string) error { return parseFloat(&r.Weight, s) },
		team:     func(r TeamRow) string { return formatFloat(r.Weight) },
		readTeam: func(r *TeamRow, s string) error { return parseFloat(&r.Weight, s) },
	},
	{
		name:     "floor",
		kind:     func(r Row) string { return formatFloat(float64(r.Floor)) },
		readKind: func(r *Row, s string) error { return parseShare(&r.Floor, s) },
	},
	{
		name:     "ceiling",
		kind:     func(r Row) string { return formatFloat(float64(r.Ceiling)) },
		readKind: func(r *Row, s string) error { return parseShare(&r.Ceiling, s) },
		team:     func(r TeamRow) string { return formatFloat(float64(r.Quota)) },
		readTeam: func(r *TeamRow, s string) error { return parseShare(&r.Quota, s) },
	},
	{
		name:     "deadline",
		kind:     func(r Row) string { return formatDuration(r.Deadline) },
		readKind: func(r *Row, s string) error { return parseDuration(&r.Deadline, s) },
	},
	{
		name:     "objective",
		kind:     func(r Row) string { return formatDuration(r.Objective) },
		readKind: func(r *Row, s string) error { return parseDuration(&r.Objective, s) },
	},
	{
		name:     "target",
		kind:     func(r Row) string { return formatFloat(float64(r.Target)) },
		readKind: func(r *Row, s string) error { return parseShare(&r.Target, s) },
	},
	{
		name:     "unrepeatable",
		kind:     func(r Row) string { return formatBool(r.Unrepeatable) },
		readKind: func(r *Row, s string) error { return parseBool(&r.Unrepeatable, s) },
	},
	{
		name:     "urgent",
		kind:     func(r Row) string { return formatBool(r.Urgent) },
		readKind: func(r *Row, s string) error { return parseBool(&r.Urgent, s) },
	},
	{
		name:     "crossRegion",
		kind:     func(r Row) string { return formatBool(r.CrossRegion) },
		readKind: func(r *Row, s string) error { return parseBool(&r.CrossRegion, s) },
	},
	{
		name:     "linkRate",
		kind:     func(r Row) string { return strconv.FormatInt(int64(r.LinkRate), 10) },
		readKind: func(r *Row, s string) error { return parseBytes(&r.LinkRate, s) },
	},
}

// CSV returns t as a spreadsheet: a header, a line with the revision in the
// name column, then a line for each row. A team's quota stands in the ceiling column.
func (t *Table) CSV() ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	if err := w.Write(header()); err != nil {
		return nil, errors.Wrap(err, "table: write CSV")
	}
	if err := w.Write(revisionLine(t.Revision)); err != nil {
		return nil, errors.Wrap(err, "table: write CSV")
	}
	for _, r := range t.Rows {
		if err := w.Write(kindLine(r)); err != nil {
			return nil, errors.Wrap(err, "table: write CSV")
		}
	}
	for _, r := range t.Teams {
		if err := w.Write(teamLine(r)); err != nil {
			return nil, errors.Wrap(err, "table: write CSV")
		}
	}
	w.Flush()
	return b.Bytes(), errors.Wrap(w.Error(), "table: write CSV")
}

func header() []string {
	h := []string{"row"}
	for _, c := range columns {
		h = append(h, c.name)
	}
	return h
}

func revisionLine(r Revision) []string {
	line := make([]string, len(columns)+1)
	line[0] = csvRevision
	line[1] = strconv.FormatUint(uint64(r), 10)
	return line
}

func kindLine(r Row) []string {
	line := []string{csvKind}
	for _, c := range columns {
		line = append(line, c.kind(r))
	}
	return line
}

func teamLine(r TeamRow) []string {
	line := []string{csvTeam}
	for _, c := range columns {
		if c.team == nil {
			line = append(line, "")
			continue
		}
		line = append(line, c.team(r))
	}
	return line
}

// ParseCSV reads a table that a spreadsheet wrote and checks it. Columns may
// stand in any order. The error lists each fault with its line and column and
// is ErrInvalid.
func ParseCSV(data []byte) (*Table, error) {
	p := csvReader{r: csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff")))), t: &Table{}, lines: map[string]int{}}
	p.r.FieldsPerRecord = -1
	p.read()
	if len(p.problems) == 0 {
		p.check()
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.t, nil
}

// A csvReader gathers the rows and the problems of one sheet.
type csvReader struct {
	r        *csv.Reader
	t        *Table
	order    []*column
	lines    map[string]int
	problems document.Problems
}

func (p *csvReader) fail(line, col int, format string, args ...any) {
	p.problems = append(p.problems, document.Problem{Line: line, Column: col, Message: fmt.Sprintf(format, args...)})
}

func (p *csvReader) read() {
	head, err := p.r.Read()
	if err != nil {
		p.fail(1, 1, "no header: %v", err)
		return
	}
	p.readHeader(head)
	for len(p.problems) == 0 {
		fields, err := p.r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.fail(0, 0, "%v", err)
			return
		}
		p.readLine(fields)
	}
}

func (p *csvReader) readHeader(head []string) {
	if len(head) == 0 || strings.TrimSpace(head[0]) != "row" {
		p.fail(1, 1, "the first column must be %q", "row")
		return
	}
	for i, h := range head[1:] {
		c := columnNamed(strings.TrimSpace(h))
		if c == nil {
			_, col := p.r.FieldPos(i + 1)
			p.fail(1, col, "unknown column %q", h)
		}
		p.order = append(p.order, c)
	}
}

func columnNamed(name string) *column {
	for i := range columns {
		if columns[i].name == name {
			return &columns[i]
		}
	}
	return nil
}

func (p *csvReader) readLine(fields []string) {
	line, _ := p.r.FieldPos(0)
	if len(fields) != len(p.order)+1 {
		p.fail(line, 1, "%d fields, the header has %d", len(fields), len(p.order)+1)
		return
	}
	switch fields[0] {
	case csvKind:
		p.lines[fmt.Sprintf("$.kinds[%d]", len(p.t.Rows))] = line
		p.t.Rows = append(p.t.Rows, p.kindRow(fields[1:]))
	case csvTeam:
		p.lines[fmt.Sprintf("$.teams[%d]", len(p.t.Teams))] = line
		p.t.Teams = append(p.t.Teams, p.teamRow(fields[1:]))
	case csvRevision:
		p.revision(line, fields[1:])
	default:
		p.fail(line, 1, "row must be %q, %q or %q, not %q", csvKind, csvTeam, csvRevision, fields[0])
	}
}

// revision reads the revision the sheet was made from, out of the name column.
func (p *csvReader) revision(line int, fields []string) {
	for i, c := range p.order {
		if c.name != "name" {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 64)
		p.field(i, err)
		p.t.Revision = Revision(n)
		return
	}
	p.fail(line, 1, "the revision stands in the name column, which is missing")
}

func (p *csvReader) kindRow(fields []string) Row {
	var r Row
	for i, f := range fields {
		p.field(i, p.order[i].readKind(&r, strings.TrimSpace(f)))
	}
	return r
}

func (p *csvReader) teamRow(fields []string) TeamRow {
	var r TeamRow
	for i, f := range fields {
		c := p.order[i]
		if c.readTeam != nil {
			p.field(i, c.readTeam(&r, strings.TrimSpace(f)))
			continue
		}
		if strings.TrimSpace(f) != "" {
			p.field(i, errors.Errorf("a team has no %s", c.name))
		}
	}
	return r
}

func (p *csvReader) field(i int, err error) {
	if err == nil {
		return
	}
	line, col := p.r.FieldPos(i + 1)
	p.fail(line, col, "%s: %v", p.order[i].name, err)
}

// check adds the faults of the whole table, each at the line of its row.
func (p *csvReader) check() {
	for _, f := range p.t.Violations() {
		at := f.Path
		if i := strings.IndexByte(at, ']'); i >= 0 {
			at = at[:i+1]
		}
		p.fail(max(p.lines[at], 1), 1, "%s: %s", f.Path, f.Message)
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatBool(b bool) string { return strconv.FormatBool(b) }

func formatDuration(d time.Duration) string { return d.String() }

func parseFloat(f *float64, s string) error {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return errors.Errorf("%q is not a number", s)
	}
	*f = v
	return nil
}

// parseShare reads "0.25" or "25%"; an empty cell is 0.
func parseShare(f *Share, s string) error {
	if s == "" {
		*f = 0
		return nil
	}
	n, percent := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(n, 64)
	if err != nil {
		return errors.Errorf("%q is not a share", s)
	}
	if percent {
		v /= 100
	}
	*f = Share(v)
	return nil
}

func parseDuration(d *time.Duration, s string) error {
	if s == "" {
		*d = 0
		return nil
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration such as 250ms", s)
	}
	*d = v
	return nil
}

func parseBool(b *bool, s string) error {
	if s == "" {
		*b = false
		return nil
	}
	v, err := strconv.ParseBool(strings.ToLower(s))
	if err != nil {
		return errors.Errorf("%q is not true or false", s)
	}
	*b = v
	return nil
}

func parseBytes(b *fleet.Bytes, s string) error {
	if s == "" {
		*b = 0
		return nil
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return errors.Errorf("%q is not a count of bytes", s)
	}
	*b = fleet.Bytes(v)
	return nil
}

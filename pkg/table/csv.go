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

// The values of the first CSV column, the type of the row.
const (
	csvKind     = "kind"
	csvTeam     = "team"
	csvRevision = "revision"
)

// A column is a CSV column with its formatter and parser for each type of row.
// A column without those for teams is empty in a team row.
type column struct {
	name       string
	formatKind func(Row) string
	parseKind  func(*Row, string) error
	formatTeam func(TeamRow) string
	parseTeam  func(*TeamRow, string) error
}

// columns are the CSV columns after the first, in the order in which they are written.
var columns = []column{
	{
		name:       "name",
		formatKind: func(r Row) string { return string(r.Kind) },
		parseKind:  func(r *Row, s string) error { r.Kind = fleet.Kind(s); return nil },
		formatTeam: func(r TeamRow) string { return string(r.Team) },
		parseTeam:  func(r *TeamRow, s string) error { r.Team = fleet.Team(s); return nil },
	},
	{
		name:       "class",
		formatKind: func(r Row) string { return string(r.Class) },
		parseKind:  func(r *Row, s string) error { r.Class = Class(s); return nil },
	},
	{
		name:       "weight",
		formatKind: func(r Row) string { return formatFloat(r.Weight) },
		parseKind:  func(r *Row, s string) error { return parseFloat(&r.Weight, s) },
		formatTeam: func(r TeamRow) string { return formatFloat(r.Weight) },
		parseTeam:  func(r *TeamRow, s string) error { return parseFloat(&r.Weight, s) },
	},
	{
		name:       "floor",
		formatKind: func(r Row) string { return formatFloat(float64(r.Floor)) },
		parseKind:  func(r *Row, s string) error { return parseShare(&r.Floor, s) },
	},
	{
		name:       "ceiling",
		formatKind: func(r Row) string { return formatFloat(float64(r.Ceiling)) },
		parseKind:  func(r *Row, s string) error { return parseShare(&r.Ceiling, s) },
		formatTeam: func(r TeamRow) string { return formatFloat(float64(r.Quota)) },
		parseTeam:  func(r *TeamRow, s string) error { return parseShare(&r.Quota, s) },
	},
	{
		name:       "deadline",
		formatKind: func(r Row) string { return formatDuration(r.Deadline) },
		parseKind:  func(r *Row, s string) error { return parseDuration(&r.Deadline, s) },
	},
	{
		name:       "objective",
		formatKind: func(r Row) string { return formatDuration(r.Objective) },
		parseKind:  func(r *Row, s string) error { return parseDuration(&r.Objective, s) },
	},
	{
		name:       "target",
		formatKind: func(r Row) string { return formatFloat(float64(r.Target)) },
		parseKind:  func(r *Row, s string) error { return parseShare(&r.Target, s) },
	},
	{
		name:       "unrepeatable",
		formatKind: func(r Row) string { return formatBool(r.Unrepeatable) },
		parseKind:  func(r *Row, s string) error { return parseBool(&r.Unrepeatable, s) },
	},
	{
		name:       "urgent",
		formatKind: func(r Row) string { return formatBool(r.Urgent) },
		parseKind:  func(r *Row, s string) error { return parseBool(&r.Urgent, s) },
	},
	{
		name:       "crossRegion",
		formatKind: func(r Row) string { return formatBool(r.CrossRegion) },
		parseKind:  func(r *Row, s string) error { return parseBool(&r.CrossRegion, s) },
	},
	{
		name:       "linkRate",
		formatKind: func(r Row) string { return strconv.FormatInt(int64(r.LinkRate), 10) },
		parseKind:  func(r *Row, s string) error { return parseBytes(&r.LinkRate, s) },
	},
}

// CSV returns t as CSV: a header, a record with the revision in the name column,
// then a record for each row. The ceiling column holds a team's quota.
func (t *Table) CSV() ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	if err := w.Write(headerRecord()); err != nil {
		return nil, errors.Wrap(err, "table: write CSV")
	}
	if err := w.Write(revisionRecord(t.Revision)); err != nil {
		return nil, errors.Wrap(err, "table: write CSV")
	}
	for _, r := range t.Rows {
		if err := w.Write(kindRecord(r)); err != nil {
			return nil, errors.Wrap(err, "table: write CSV")
		}
	}
	for _, r := range t.Teams {
		if err := w.Write(teamRecord(r)); err != nil {
			return nil, errors.Wrap(err, "table: write CSV")
		}
	}
	w.Flush()
	return b.Bytes(), errors.Wrap(w.Error(), "table: write CSV")
}

func headerRecord() []string {
	h := []string{"row"}
	for _, c := range columns {
		h = append(h, c.name)
	}
	return h
}

func revisionRecord(r Revision) []string {
	record := make([]string, len(columns)+1)
	record[0] = csvRevision
	record[1] = strconv.FormatUint(uint64(r), 10)
	return record
}

func kindRecord(r Row) []string {
	record := []string{csvKind}
	for _, c := range columns {
		record = append(record, c.formatKind(r))
	}
	return record
}

func teamRecord(r TeamRow) []string {
	record := []string{csvTeam}
	for _, c := range columns {
		if c.formatTeam == nil {
			record = append(record, "")
			continue
		}
		record = append(record, c.formatTeam(r))
	}
	return record
}

// ParseCSV parses and checks a table exported from a spreadsheet. The columns
// may be in any order. The error lists every problem with its line and column
// and matches ErrInvalid.
func ParseCSV(data []byte) (*Table, error) {
	p := csvParser{reader: csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff")))), table: &Table{}, lineByPath: map[string]int{}}
	p.reader.FieldsPerRecord = -1
	p.parse()
	if len(p.problems) == 0 {
		p.checkTable()
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.table, nil
}

// A csvParser collects the rows and the problems of one CSV document.
type csvParser struct {
	reader     *csv.Reader
	table      *Table
	columns    []*column
	lineByPath map[string]int
	problems   document.Problems
}

func (p *csvParser) addProblem(line, col int, format string, args ...any) {
	p.problems = append(p.problems, document.Problem{Line: line, Column: col, Message: fmt.Sprintf(format, args...)})
}

func (p *csvParser) parse() {
	header, err := p.reader.Read()
	if err != nil {
		p.addProblem(1, 1, "no header: %v", err)
		return
	}
	p.parseHeader(header)
	for len(p.problems) == 0 {
		fields, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.addProblem(0, 0, "%v", err)
			return
		}
		p.parseRecord(fields)
	}
}

func (p *csvParser) parseHeader(header []string) {
	if len(header) == 0 || strings.TrimSpace(header[0]) != "row" {
		p.addProblem(1, 1, "the first column must be %q", "row")
		return
	}
	for i, h := range header[1:] {
		c := findColumn(strings.TrimSpace(h))
		if c == nil {
			_, col := p.reader.FieldPos(i + 1)
			p.addProblem(1, col, "unknown column %q", h)
		}
		p.columns = append(p.columns, c)
	}
}

func findColumn(name string) *column {
	for i := range columns {
		if columns[i].name == name {
			return &columns[i]
		}
	}
	return nil
}

func (p *csvParser) parseRecord(fields []string) {
	line, _ := p.reader.FieldPos(0)
	if len(fields) != len(p.columns)+1 {
		p.addProblem(line, 1, "%d fields, the header has %d", len(fields), len(p.columns)+1)
		return
	}
	switch fields[0] {
	case csvKind:
		p.lineByPath[fmt.Sprintf("$.kinds[%d]", len(p.table.Rows))] = line
		p.table.Rows = append(p.table.Rows, p.parseKindRow(fields[1:]))
	case csvTeam:
		p.lineByPath[fmt.Sprintf("$.teams[%d]", len(p.table.Teams))] = line
		p.table.Teams = append(p.table.Teams, p.parseTeamRow(fields[1:]))
	case csvRevision:
		p.parseRevision(line, fields[1:])
	default:
		p.addProblem(line, 1, "row must be %q, %q or %q, not %q", csvKind, csvTeam, csvRevision, fields[0])
	}
}

// parseRevision parses, from the name column, the revision on which the document is based.
func (p *csvParser) parseRevision(line int, fields []string) {
	for i, c := range p.columns {
		if c.name != "name" {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 64)
		p.checkField(i, err)
		p.table.Revision = Revision(n)
		return
	}
	p.addProblem(line, 1, "the revision stands in the name column, which is missing")
}

func (p *csvParser) parseKindRow(fields []string) Row {
	var r Row
	for i, f := range fields {
		p.checkField(i, p.columns[i].parseKind(&r, strings.TrimSpace(f)))
	}
	return r
}

func (p *csvParser) parseTeamRow(fields []string) TeamRow {
	var r TeamRow
	for i, f := range fields {
		c := p.columns[i]
		if c.parseTeam != nil {
			p.checkField(i, c.parseTeam(&r, strings.TrimSpace(f)))
			continue
		}
		if strings.TrimSpace(f) != "" {
			p.checkField(i, errors.Errorf("a team has no %s", c.name))
		}
	}
	return r
}

func (p *csvParser) checkField(i int, err error) {
	if err == nil {
		return
	}
	line, col := p.reader.FieldPos(i + 1)
	p.addProblem(line, col, "%s: %v", p.columns[i].name, err)
}

// checkTable adds the violations of the whole table, each at the line of its row.
func (p *csvParser) checkTable() {
	for _, v := range p.table.Violations() {
		row := v.Path
		if i := strings.IndexByte(row, ']'); i >= 0 {
			row = row[:i+1]
		}
		p.addProblem(max(p.lineByPath[row], 1), 1, "%s: %s", v.Path, v.Message)
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

// parseShare parses "0.25" or "25%"; an empty cell is 0.
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

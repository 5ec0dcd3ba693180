package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/tables"
	"github.com/sesamestream/sesamestream/pkg/document"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// Output formats of tables.
const (
	formatYAML = "yaml"
	formatCSV  = "csv"
)

func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: formatYAML, Usage: "yaml or csv"}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "by", Value: os.Getenv("USER"), Usage: "name that the history shows"}
}

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "read and edit the operators' table",
		Commands: []*cli.Command{
			{
				Name:   "get",
				Usage:  "print the table in force",
				Flags:  append(clientFlags(), formatFlag(), &cli.BoolFlag{Name: "store", Usage: "ask the store rather than the process for the newest accepted table"}),
				Action: getTable,
			},
			{
				Name:      "set",
				Usage:     "replace the whole table by a file; its revision must be the newest (0 for the first table)",
				ArgsUsage: "FILE (.yaml or .csv)",
				Flags:     append(clientFlags(), authorFlag()),
				Action:    setTable,
			},
			{
				Name:      "edit",
				Usage:     "change some cells of one kind's row",
				ArgsUsage: "KIND column=value [column=value ...]",
				Flags:     append(clientFlags(), authorFlag(), &cli.Uint64Flag{Name: "revision", Usage: "revision the edit is made on; the newest if left out"}),
				Action:    editTable,
			},
			{
				Name:   "history",
				Usage:  "list the accepted versions",
				Flags:  clientFlags(),
				Action: listTables,
			},
		},
	}
}

func getTable(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	path := operator.PathTable
	if c.Bool("store") {
		path += "?source=store"
	}
	var t table.Table
	if err := k.Call(ctx, http.MethodGet, path, nil, &t); err != nil {
		return err
	}
	return printTable(c, t)
}

func printTable(c *cli.Command, t table.Table) error {
	write := t.YAML
	if c.String("format") == formatCSV {
		write = t.CSV
	}
	b, err := write()
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(b)
	return err
}

// parseTable parses a table in the format that the file's extension gives.
func parseTable(file string, data []byte) (*table.Table, error) {
	if strings.HasSuffix(strings.ToLower(file), ".csv") {
		return table.ParseCSV(data)
	}
	return table.ParseYAML(data)
}

func setTable(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "table set")
	}
	t, err := parseTable(file, data)
	if err != nil {
		return errors.Wrap(err, file)
	}
	return postTable(ctx, c, t.Revision, *t)
}

func editTable(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return errors.New("table edit: needs KIND and at least one column=value")
	}
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var t table.Table
	if err := k.Call(ctx, http.MethodGet, operator.PathTable+"?source=store", nil, &t); err != nil {
		return err
	}
	if err := t.Edit(fleet.Kind(c.Args().First()), c.Args().Tail()); err != nil {
		return err
	}
	base := t.Revision
	if c.IsSet("revision") {
		base = table.Revision(c.Uint64("revision"))
	}
	return postTable(ctx, c, base, t)
}

// postTable sends an edit and prints the accepted revision; a conflict is returned as an error that
// shows both versions.
func postTable(ctx context.Context, c *cli.Command, base table.Revision, t table.Table) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var v tables.Version
	err = k.Call(ctx, http.MethodPost, operator.PathTable, operator.TableEdit{Base: base, Table: t, By: c.String("by")}, &v)
	var r *operator.ResponseError
	if errors.As(err, &r) && r.Conflict != nil {
		return conflictError(r.Conflict)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "accepted as revision %d\n", v.Table.Revision)
	return err
}

// conflictError returns an error that shows both versions of each row that differs.
func conflictError(x *tables.Conflict) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%v\n", x)
	for _, d := range table.Diff(x.Theirs.Table, x.Mine) {
		fmt.Fprintf(&b, "  %s\n    accepted: %s\n    yours:    %s\n", d.Name, rowOrPlaceholder(d.Old), rowOrPlaceholder(d.New))
	}
	b.WriteString("nothing of yours was put in force; get the new revision and edit again")
	return errors.New(b.String())
}

func rowOrPlaceholder(s string) string {
	if s == "" {
		return "(no row)"
	}
	return s
}

func listTables(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var h []tables.Version
	if err := k.Call(ctx, http.MethodGet, operator.PathTableHistory, nil, &h); err != nil {
		return err
	}
	var previous table.Table
	w := printer{w: c.Root().Writer}
	for _, v := range h {
		w.printf("revision %d  %s  %s\n", v.Table.Revision, v.AcceptedAt.Format("2006-01-02T15:04:05Z"), v.Author)
		for _, d := range table.Diff(previous, v.Table) {
			w.printf("  %s: %s -> %s\n", d.Name, rowOrPlaceholder(d.Old), rowOrPlaceholder(d.New))
		}
		previous = v.Table
	}
	return errors.Wrap(w.err, "table: print")
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a file of settings or a table; exit code 2 where it is invalid",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			return checkFile(c, c.Args().First())
		},
	}
}

func checkFile(c *cli.Command, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	fileType := "settings"
	if strings.HasSuffix(strings.ToLower(file), ".csv") || isTable(data) {
		fileType = "table"
		_, err = parseTable(file, data)
	} else {
		err = checkSettings(data)
	}
	var p document.Problems
	if errors.As(err, &p) {
		for i := range p {
			p[i].File = file
		}
		return p
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid %s\n", file, fileType)
	return err
}

// isTable reports whether data is a table rather than settings: only a table has the top-level key
// kinds.
func isTable(data []byte) bool {
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "kinds:") {
			return true
		}
	}
	return false
}

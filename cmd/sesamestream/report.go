package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/burn/page"
	"github.com/sesamestream/sesamestream/internal/burn/words"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/pkg/burn"
)

// htmlPageMode makes the page readable by all users; a new temporary file is readable only by its owner.
const htmlPageMode = 0o644

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "report on how the fleet serves",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show how fast each kind of request spends its error budget",
			Flags: append(clientFlags(), jsonFlag(),
				&cli.StringFlag{Name: "html", Usage: "write a page with plots to `FILE`"},
				&cli.StringSliceFlag{Name: "window", Usage: "an alert as `NAME=RATE/LONG/SHORT`, such as page=14.4/1h/5m; may be repeated (default: page=14.4/1h/5m, ticket=6/6h/30m)"},
				&cli.DurationFlag{Name: "span", Usage: "how far the plots go back (default: the long window of the first alert)"},
			),
			Action: reportBurn,
		}},
	}
}

func reportBurn(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	q := url.Values{operator.ParameterAlert: c.StringSlice("window")}
	if c.IsSet("span") {
		q.Set(operator.ParameterSpan, c.Duration("span").String())
	}
	var r burn.Report
	if err := k.Call(ctx, http.MethodGet, operator.PathBurn+"?"+q.Encode(), nil, &r); err != nil {
		return err
	}
	if f := c.String("html"); f != "" {
		if err := writeHTMLPage(f, r); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(c, r)
	}
	return printBurnReport(c.Root().Writer, r)
}

// writeHTMLPage replaces the file atomically by the page; on an error the file is unchanged.
func writeHTMLPage(name string, r burn.Report) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".burn-*")
	if err != nil {
		return errors.Wrap(err, "report: page")
	}
	defer func() { _ = os.Remove(f.Name()) }()
	err = page.Write(f, r)
	if err == nil {
		err = errors.Wrap(f.Chmod(htmlPageMode), "report: page")
	}
	if x := f.Close(); err == nil {
		err = errors.Wrap(x, "report: page")
	}
	if err != nil {
		return err
	}
	return errors.Wrap(os.Rename(f.Name(), name), "report: page")
}

// printBurnReport writes the report as text.
func printBurnReport(out io.Writer, r burn.Report) error {
	w := printer{w: out}
	p := func(format string, a ...any) { w.printf(format+"\n", a...) }
	p("%s, table %d, %d processes asked, counting for up to %s", r.At.UTC().Format("2006-01-02 15:04:05 UTC"),
		r.Revision, len(r.Processes), words.Duration(r.Age))
	if r.Partial {
		p("PARTIAL: %s; there may be more of everything", words.UnansweredProcesses(r))
		for _, x := range r.Processes {
			if x.Error != "" {
				p("  no answer from %s (%s, %s): %s", x.ID, x.Role, x.DataCentre, x.Error)
			}
		}
	}
	for _, a := range r.Alerts {
		p("%s", words.Alert(a))
	}
	p("")
	if w.err != nil {
		return errors.Wrap(w.err, "report: print")
	}
	if err := printRequestCounts(out, r); err != nil {
		return err
	}
	if p(""); w.err != nil {
		return errors.Wrap(w.err, "report: print")
	}
	return printBurnRates(out, r)
}

func printRequestCounts(out io.Writer, r burn.Report) error {
	w := newColumnPrinter(out)
	w.printf("kind\tobjective\twindow\ttold\tanswered\tlate\trefused\tunknown\tp50\tp99\tunder floor\trefused there\tqueued late there\n")
	for _, k := range r.Kinds {
		for _, x := range words.DistinctWindows(k.Windows, r.Age) {
			w.printf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t%d\n", k.Kind, words.Objective(k),
				words.Coverage(x.Window, r.Age), x.Outcomes(), x.Answered, x.Late, x.NotRun, x.Unknown,
				words.Quantile(x.P50), words.Quantile(x.P99), x.FloorAsked, x.FloorRefused, x.FloorLate)
		}
	}
	return w.flush()
}

func printBurnRates(out io.Writer, r burn.Report) error {
	w := newColumnPrinter(out)
	w.printf("kind\tburn rate of")
	for _, a := range r.Alerts {
		w.printf("\t%s\t%s\t%s", words.Duration(a.Long), words.Duration(a.Short), a.Name)
	}
	w.printf("\n")
	for _, k := range r.Kinds {
		for _, s := range k.Signals {
			w.printf("%s\t%s", k.Kind, words.SignalName(s.Signal))
			for _, a := range s.Alerts {
				w.printf("\t%s\t%s\t%s", words.Burn(a.Long.Burn), words.Burn(a.Short.Burn), words.State(a.State))
			}
			w.printf("\n")
		}
	}
	return w.flush()
}

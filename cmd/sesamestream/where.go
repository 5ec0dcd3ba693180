package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/gateway"
)

// whereTimeout bounds the question; the scheduler answers within a second or not at all.
const whereTimeout = 5 * time.Second

// whereCommand asks a gateway where a job would go.
func whereCommand() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "tell where a job would go now, and why; nothing is submitted",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Required: true, Usage: "metrics address of a gateway, as HOST:PORT"},
			&cli.StringFlag{Name: "host", Required: true, Usage: "host to which the caller would submit the job"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "path to which the caller would submit the job"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("where: needs exactly one file with the body of a submission; - is the standard input")
			}
			if o := c.String("output"); o != "text" && o != "json" {
				return errors.Errorf("where: output is text or json, not %q", o)
			}
			job := io.Reader(os.Stdin)
			if name := c.Args().First(); name != "-" {
				f, err := os.Open(name)
				if err != nil {
					return errors.Wrap(err, "where")
				}
				defer f.Close()
				job = f
			}
			p, err := askWhere(ctx, c.String("gateway"), c.String("host"), c.String("path"), job)
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printJSON(c, p)
			}
			return printProspect(c.Root().Writer, p)
		},
	}
}

// askWhere asks the gateway at an address where a job would go.
func askWhere(ctx context.Context, address, host, path string, job io.Reader) (*gateway.Prospect, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/where", RawQuery: url.Values{"host": {host}, "path": {path}}.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), job)
	if err != nil {
		return nil, errors.Wrap(err, "where")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "where")
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		const maxMessage = 512
		// The message only adds to the status.
		message, _ := io.ReadAll(io.LimitReader(a.Body, maxMessage))
		return nil, errors.Errorf("where: the gateway says %s: %s", a.Status, message)
	}
	var p gateway.Prospect
	if err := json.NewDecoder(a.Body).Decode(&p); err != nil {
		return nil, errors.Wrap(err, "where")
	}
	return &p, nil
}

// printProspect prints what would become of a job.
func printProspect(w io.Writer, p *gateway.Prospect) error {
	t := newColumnPrinter(w)
	if p.Refused {
		t.printf("the submission would be refused (%s); retry after %d s\n", p.Reason, p.RetryAfterSeconds)
	} else {
		t.printf("the submission would be accepted (%s)\n", p.Reason)
	}
	if p.EstimatedStartSeconds != nil && p.EstimatedEndSeconds != nil {
		t.printf("estimated: start in %.1f s, end in %.1f s\n", *p.EstimatedStartSeconds, *p.EstimatedEndSeconds)
	}
	t.printf("step\tworker\tdata centre\ttasks\twhy\n")
	for i, s := range p.Steps {
		for _, x := range s.Placements {
			why := fmt.Sprintf("score %.1f, %.1f processors free", x.Score, float64(x.Free.MilliCPU)/1000)
			if x.Cold {
				why += ", cold"
			}
			if x.Remote {
				why += ", far from its data"
			}
			t.printf("%d\t%s\t%s\t%d\t%s\n", i, x.Worker, x.DataCentre, x.Tasks, why)
		}
		if s.Waiting > 0 {
			t.printf("%d\t-\t-\t%d\twaits\n", i, s.Waiting)
		}
		for _, x := range s.Exclusions {
			t.printf("%d\t%s\t%s\t0\t%s\n", i, x.Worker, x.DataCentre, x.Reason)
		}
	}
	return t.flush()
}

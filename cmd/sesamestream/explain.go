package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/explain"
)

// explainCommand prints the history of a job, reconstructed from the processes' logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of a job from the logs of the processes",
		ArgsUsage: "JOB FILE...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("explain: want the id of a job and at least one log file; - is the standard input")
			}
			var logs []io.Reader
			for _, f := range c.Args().Slice()[1:] {
				if f == "-" {
					logs = append(logs, os.Stdin)
					continue
				}
				r, err := os.Open(f)
				if err != nil {
					return errors.Wrap(err, "explain")
				}
				defer r.Close()
				logs = append(logs, r)
			}
			s, err := explain.Read(c.Args().First(), logs...)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				e := json.NewEncoder(os.Stdout)
				e.SetIndent("", "  ")
				return e.Encode(s)
			}
			return s.Write(os.Stdout)
		},
	}
}

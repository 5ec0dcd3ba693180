package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/local"
)

func logLevelFlag() cli.Flag {
	return &cli.StringFlag{Name: "log", Value: "error", Usage: "lowest level of the processes' events"}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment under a flood, a crash and a store outage, and check the promises; at most 30 s",
		Flags: []cli.Flag{logLevelFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return withTempDir(func(dir string) error {
				d := &local.Demo{Out: c.Root().Writer, Dir: dir, Log: newLogger(c.String("log"))}
				return d.Run(ctx)
			})
		},
	}
}

func localCommand() *cli.Command {
	return &cli.Command{
		Name:  "local",
		Usage: "run a whole deployment in this process until interrupted",
		Flags: []cli.Flag{logLevelFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return withTempDir(func(dir string) error {
				return local.Serve(ctx, c.Root().Writer, dir, newLogger(c.String("log")))
			})
		},
	}
}

// withTempDir calls f with a temporary folder for keys and removes the folder afterwards.
func withTempDir(f func(dir string) error) error {
	dir, err := os.MkdirTemp("", "sesamestream-")
	if err != nil {
		return errors.Wrap(err, "local")
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "sesamestream:", err)
		}
	}()
	return f(dir)
}

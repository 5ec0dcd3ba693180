package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/process"
	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "YAML file of settings; see examples/"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "serve callers behind the platform's balancer",
		Description: settings.Help(),
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runProcess(ctx, c.String("settings"), fleet.RoleEntry)
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "admit work on one target host",
		Description: settings.Help(),
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runProcess(ctx, c.String("settings"), fleet.RoleAgent)
		},
	}
}

// runProcess runs the process that a settings file describes.
func runProcess(ctx context.Context, file string, role fleet.Role) error {
	// An unhandled SIGHUP terminates the process, so it is caught before the settings are read.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	p, err := process.Load(file)
	if err != nil {
		return err
	}
	if p.Settings.Role != role {
		return errors.Wrapf(settings.ErrInvalid, "%s: role is %s, not %s", file, p.Settings.Role, role)
	}
	p.ReloadSignal = reload
	p.Log = newLogger(p.Settings.Log)
	debug.SetMemoryLimit(int64(p.Settings.MemoryLimit))
	return p.Run(ctx)
}

package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	storestandin "github.com/sesamestream/sesamestream/internal/consul/standin"
	targetstandin "github.com/sesamestream/sesamestream/internal/target/standin"
	workerstandin "github.com/sesamestream/sesamestream/internal/worker/standin"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func listenFlag(value string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: value, Usage: "address to listen at"}
}

func agentFlag() cli.Flag {
	return &cli.StringFlag{Name: "agent", Value: "127.0.0.1:7102", Usage: "host address of the agent"}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "stand in for the platform's store, in memory; for tests and trials",
		Flags: []cli.Flag{listenFlag("127.0.0.1:8500")},
		Action: func(ctx context.Context, c *cli.Command) error {
			at, err := parseAddress(c.String("listen"))
			if err != nil {
				return err
			}
			return (&storestandin.Server{Address: at}).Run(ctx)
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "stand in for a target; for tests and trials",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:0"),
			agentFlag(),
			&cli.StringFlag{Name: "id", Required: true, Usage: "name of the target"},
			&cli.StringSliceFlag{Name: "kind", Required: true, Usage: "kind it serves; may be repeated"},
			&cli.IntFlag{Name: "connections", Value: 64, Usage: "requests it takes at once"},
			&cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "how long an answer takes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			listen, err := parseAddress(c.String("listen"))
			if err != nil {
				return err
			}
			at, err := parseAddress(c.String("agent"))
			if err != nil {
				return err
			}
			t := &targetstandin.Target{
				ID: c.String("id"), Listen: listen, Agent: at,
				Connections: c.Int("connections"), Delay: c.Duration("delay"),
				Recorder: &targetstandin.Recorder{},
			}
			for _, k := range c.StringSlice("kind") {
				t.Kinds = append(t.Kinds, fleet.Kind(k))
			}
			return t.Run(ctx)
		},
	}
}

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:     "worker",
		Usage:    "stand in for a worker (for tests and trials), or list and drain workers",
		Commands: workerCommands(),
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:0"),
			agentFlag(),
			&cli.StringFlag{Name: "id", Value: "worker", Usage: "name of the worker"},
			&cli.IntFlag{Name: "processors", Value: 16, Usage: "processors it has"},
			&cli.IntFlag{Name: "memory", Value: 60, Usage: "memory it has, in GiB"},
			&cli.IntFlag{Name: "accelerators", Usage: "accelerators it has"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "tasks it runs at once"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			listen, err := parseAddress(c.String("listen"))
			if err != nil {
				return err
			}
			at, err := parseAddress(c.String("agent"))
			if err != nil {
				return err
			}
			return (&workerstandin.Worker{
				ID: c.String("id"), Listen: listen, Agent: at,
				Resources: fleet.Resources{
					Processors:   fleet.MilliProcessors(c.Int("processors")) * 1000,
					Memory:       fleet.Bytes(c.Int("memory")) << 30,
					Accelerators: c.Int("accelerators"),
					Slots:        c.Int("slots"),
				},
				Recorder: &workerstandin.Recorder{},
			}).Run(ctx)
		},
	}
}

func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	return a, errors.Wrap(err, "address")
}

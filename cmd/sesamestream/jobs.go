package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, read and cancel jobs",
		Commands: []*cli.Command{
			{
				Name:      "submit",
				Usage:     "submit a job under an id of yours; repeating it is harmless",
				ArgsUsage: "ID",
				Flags:     append(clientFlags(), submitFlags()...),
				Action:    submitJob,
			},
			{Name: "get", Usage: "print one job", ArgsUsage: "ID", Flags: clientFlags(), Action: getJob},
			{Name: "list", Usage: "list all jobs", Flags: clientFlags(), Action: listJobs},
			{Name: "cancel", Usage: "stop a job; returns once it does not run", ArgsUsage: "ID", Flags: clientFlags(), Action: cancelJob},
		},
	}
}

func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "kind", Required: true, Usage: "kind, a row of the table"},
		&cli.StringFlag{Name: "team", Usage: "team whose quota counts"},
		&cli.StringFlag{Name: "class", Value: string(table.ClassBatch), Usage: "batch or service"},
		&cli.IntFlag{Name: "tasks", Value: 1, Usage: "tasks, or replicas of a service"},
		&cli.IntFlag{Name: "milli-processors", Value: 1000, Usage: "thousandths of a processor for each task"},
		&cli.IntFlag{Name: "memory", Value: 1024, Usage: "memory for each task, in MiB"},
		&cli.IntFlag{Name: "accelerators", Usage: "accelerators for each task"},
		&cli.BoolFlag{Name: "urgent", Usage: "goes before the rest"},
		&cli.StringFlag{Name: "region", Usage: "region of the input"},
		&cli.BoolFlag{Name: "spread", Usage: "spread the tasks over racks"},
		&cli.StringFlag{Name: "command", Required: true, Usage: "handed to the worker; the stand-in takes a duration such as 3s"},
	}
}

// jobPath returns the API path of the job whose ID is the only argument.
func jobPath(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.New("needs exactly one job ID")
	}
	return operator.PathJobs + "/" + url.PathEscape(c.Args().First()), nil
}

func submitJob(ctx context.Context, c *cli.Command) error {
	if _, err := jobPath(c); err != nil {
		return err
	}
	j := operator.Job{
		ID:    task.JobID(c.Args().First()),
		Kind:  fleet.Kind(c.String("kind")),
		Team:  fleet.Team(c.String("team")),
		Class: table.Class(c.String("class")),
		Tasks: uint32(max(c.Int("tasks"), 0)),
		Resources: fleet.Resources{
			Processors:   fleet.MilliProcessors(c.Int("milli-processors")),
			Memory:       fleet.Bytes(c.Int("memory")) << 20,
			Accelerators: c.Int("accelerators"),
			Slots:        1,
		},
		Urgent:  c.Bool("urgent"),
		Region:  c.String("region"),
		Spread:  c.Bool("spread"),
		Command: c.String("command"),
	}
	return callJob(ctx, c, http.MethodPost, operator.PathJobs, j)
}

func getJob(ctx context.Context, c *cli.Command) error {
	path, err := jobPath(c)
	if err != nil {
		return err
	}
	return callJob(ctx, c, http.MethodGet, path, nil)
}

func cancelJob(ctx context.Context, c *cli.Command) error {
	path, err := jobPath(c)
	if err != nil {
		return err
	}
	return callJob(ctx, c, http.MethodDelete, path, nil)
}

func callJob(ctx context.Context, c *cli.Command, method, path string, q any) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var s operator.JobState
	if err := k.Call(ctx, method, path, q, &s); err != nil {
		return err
	}
	return printJSON(c, s)
}

func listJobs(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var l operator.JobList
	if err := k.Call(ctx, http.MethodGet, operator.PathJobs, nil, &l); err != nil {
		return err
	}
	return printJSON(c, l)
}

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

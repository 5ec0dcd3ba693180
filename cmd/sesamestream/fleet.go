package main

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
)

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show who is alive, which table is in force where, and whether the store answers, each with its age",
		Flags:  append(clientFlags(), jsonFlag()),
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var all []message.Status
	if err := k.Call(ctx, http.MethodGet, operator.PathStatus, nil, &all); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c, all)
	}
	w := newColumnPrinter(c.Root().Writer)
	w.printf("process\trole\tdata centre\tup\ttable\tconfirmed ago\tstore\tmembers\tshards\tstate\n")
	for _, s := range all {
		w.printf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%v\t%s\n", s.Member.ID, s.Member.Role, s.Member.Place.DataCentre,
			formatDuration(s.Uptime), s.Revision, formatDuration(s.TableAge), storeState(s), s.Members, s.Shards, processState(s))
	}
	return w.flush()
}

func formatDuration(d time.Duration) string {
	return d.Round(100 * time.Millisecond).String()
}

func storeState(s message.Status) string {
	switch {
	case s.Error != "":
		return "?"
	case s.StoreAge < 0:
		return "not asked"
	case s.StoreBackoff:
		return "silent, last answer " + formatDuration(s.StoreAge) + " ago"
	default:
		return "answered " + formatDuration(s.StoreAge) + " ago"
	}
}

func processState(s message.Status) string {
	switch {
	case s.Error != "":
		return "no answer: " + s.Error
	case s.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

func workerCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "list", Usage: "list the hosts and their room", Flags: append(clientFlags(), jsonFlag()), Action: listWorkers},
		{Name: "drain", Usage: "move the tasks of a host away", ArgsUsage: "HOST", Flags: clientFlags(), Action: drainAction("drain")},
		{Name: "undrain", Usage: "let a host take tasks again", ArgsUsage: "HOST", Flags: clientFlags(), Action: drainAction("undrain")},
	}
}

func listWorkers(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var all []operator.WorkerState
	if err := k.Call(ctx, http.MethodGet, operator.PathWorkers, nil, &all); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c, all)
	}
	w := newColumnPrinter(c.Root().Writer)
	w.printf("host\tdata centre\track\tslots free\tprocessors free\tmemory free\ttasks\tstate\n")
	for _, x := range all {
		w.printf("%s\t%s\t%s\t%d/%d\t%.1f/%.1f\t%d/%d GiB\t%d\t%s\n", x.ID, x.Place.DataCentre, x.Place.Rack,
			x.Free.Slots, x.Total.Slots, float64(x.Free.Processors)/1000, float64(x.Total.Processors)/1000,
			x.Free.Memory>>30, x.Total.Memory>>30, x.Tasks, workerState(x))
	}
	return w.flush()
}

func workerState(x operator.WorkerState) string {
	switch {
	case x.Error != "":
		return "no answer: " + x.Error
	case x.Draining:
		return "draining"
	default:
		return "open"
	}
}

func drainAction(verb string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Len() != 1 {
			return errors.New("needs exactly one host")
		}
		k, err := newClient(c)
		if err != nil {
			return err
		}
		return k.Call(ctx, http.MethodPost, operator.PathWorkers+"/"+url.PathEscape(c.Args().First())+"/"+verb, nil, nil)
	}
}

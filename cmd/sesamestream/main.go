// Command sesamestream runs every process of the scheduler and its operators' tools.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/shutdown"
	"github.com/sesamestream/sesamestream/pkg/document"
)

// Exit codes of the command.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code.
func run() int {
	ctx, stop := shutdown.Context(context.Background())
	defer stop()
	c := &cli.Command{
		Name:  "sesamestream",
		Usage: "schedule latency-critical and batch work on the same hosts",
		Commands: []*cli.Command{
			entryCommand(), agentCommand(), tableCommand(), jobCommand(), statusCommand(), demoCommand(), localCommand(), checkCommand(), keysCommand(),
			storeCommand(), targetCommand(), workerCommand(), reportCommand(), explainCommand(), whereCommand(),
		},
	}
	err := c.Run(ctx, os.Args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, document.ErrInvalid):
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	default:
		fmt.Fprintln(os.Stderr, "sesamestream:", err)
		return exitFailed
	}
}

// Command sesamestream runs every process of the scheduler and its operators' tools.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	c := &cli.Command{
		Name:  "sesamestream",
		Usage: "schedule latency-critical and batch work on the same hosts",
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sesamestream:", err)
		os.Exit(1)
	}
}

// Command rig3 plays the script cases of the third review: it starts the programs of the deploy
// file on loopback addresses, beside stand-ins of the clients, the workers and the store.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// A playCase plays a case and reports whether the rule held. Without trouble it leaves the disruption out.
type playCase func(d *deployment, trouble bool) (held bool, err error)

var cases = map[string]struct {
	play            playCase
	entries, agents int
}{
	"cancelled": {playCancelled, 3, 4},
	"held":      {playHeld, 3, 4},
	"memory":    {playMemory, 3, 4},
	"reborn":    {playReborn, 3, 4},
}

func main() { os.Exit(play()) }

func play() int {
	root := flag.String("root", ".", "folder of the repository")
	out := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	c, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitCannotRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "sesamestream-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	full, err := filepath.Abs(*root)
	if err != nil {
		return exitCannotRun
	}
	d, err := newDeployment(full, dir, rec, c.entries, c.agents)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		rec.print("can't start: %v", err)
		return exitCannotRun
	}
	if !d.ready() {
		rec.print("the deployment doesn't get ready")
		return exitCannotRun
	}
	held, err := c.play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.print("can't run: %v", err)
		return exitCannotRun
	case !held:
		rec.print("the rule was broken")
		return exitBroken
	}
	rec.print("the rule held")
	return exitHeld
}

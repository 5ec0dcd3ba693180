// Command harness runs the cases of the review that a script shows. It starts the
// project's programs as processes on loopback addresses, with stand-ins for the
// platform, the workers and the clients, and checks what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case; scripts may take 120 s.
const timeLimit = 110 * time.Second

// A testCase runs on a rig without machines and reports whether the rule was
// broken. The disruption is left out unless trouble is set.
type testCase func(r *rig, trouble bool) (broken bool, err error)

var cases = map[string]testCase{
	"avoid":  avoidedWorker,
	"ends":   unlistedEnds,
	"ghost":  ghostWorker,
	"starve": starvedLasting,
	"wait":   waitingJobs,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "the case to run")
	dir := flag.String("dir", ".", "the folder for record.txt")
	trouble := flag.Bool("trouble", true, "cause the disruption of the case")
	flag.Parse()
	c := cases[*name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	code := runOn(rec, c, *trouble)
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

func runOn(rec *record, c testCase, trouble bool) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRig(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	type verdict struct {
		broken bool
		err    error
	}
	ended := make(chan verdict, 1)
	go func() {
		broken, err := c(r, trouble)
		ended <- verdict{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var v verdict
	select {
	case v = <-ended:
	case <-interrupted:
		v.err = fmt.Errorf("%w: interrupted", errSetUp)
	case <-time.After(timeLimit):
		v.err = fmt.Errorf("%w: it takes too long", errSetUp)
	}
	broken, err := v.broken, v.err
	code, result := exitHeld, "the rule held"
	switch {
	case broken:
		code, result = exitBroken, "the rule was broken"
	case err != nil:
		code, result = exitNotRun, "not run: "+err.Error()
		if !errors.Is(err, errSetUp) {
			result = "failed: " + err.Error()
		}
	}
	rec.printf("RESULT %s", result)
	fmt.Println(result)
	return code
}

// Command rig4 runs the scripts of the fourth review: it starts processes of the system as the
// deploy file has them, with stand-ins for the platform's store, workers and clients, and judges
// what these see by the users' rules.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// caseFunc runs a case in a deployment, with or without its disruption.
type caseFunc func(r *rig, trouble bool) error

// caseFuncs are the cases by the names that their scripts give.
var caseFuncs = map[string]caseFunc{
	"advice": burstOfAdvice,
	"lease":  lateLease,
	"leave":  lateNoticeOfLeave,
	"note":   lateNote,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || caseFuncs[os.Args[1]] == nil {
		fmt.Println("usage: rig4 CASE RECORD")
		return exitNotRun
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxDuration):
		}
		r.rec.add("case", "ends early")
		r.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.rec.add("case", "%s, with the disruption: %v", os.Args[1], trouble)
	began := time.Now()
	err = caseFuncs[os.Args[1]](r, trouble)
	r.checks.startsAfterDone()
	failed, first := r.checks.broken()
	result, code := "held", exitHeld
	switch {
	case err != nil:
		result, code = "not run: "+err.Error(), exitNotRun
	case len(failed) > 0:
		result, code = fmt.Sprintf("broken %v, first %s", failed, first), exitBroken
	}
	r.rec.add("case", "%s", result)
	fmt.Printf("%s after %.0f s: %s\n", os.Args[1], time.Since(began).Seconds(), result)
	return code
}

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each plays its deployment, with the disruption if trouble is set.
var cases = map[string]func(r *rig, trouble bool) error{
	"lease":   playLease,
	"pending": playPending,
	"trial":   playTrial,
	"record":  playRecord,
}

// The exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// limit bounds the duration of a case.
const limit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitNotRun
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	r, err := newRig(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	// The limit ends the case, and all its processes, in time.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(limit):
		}
		r.note("ended before the case was over")
		r.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %t", os.Args[1], trouble)
	if err := cases[os.Args[1]](r, trouble); err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.brokenBy); n > 0 {
		fmt.Printf("broken %d times, first %s\n", n, r.brokenBy[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

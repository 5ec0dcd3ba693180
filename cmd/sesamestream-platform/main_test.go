package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/sesamestream/sesamestream/test/signals"
)

// asProgram is set in the environment of a test binary that is to be the program.
const asProgram = "SESAMESTREAM_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// A SIGHUP that comes before the settings are read doesn't end the process
// (soak seed 211: "ended by itself: signal: hangup").
func TestReloadWhileStarting(t *testing.T) {
	settings, err := os.ReadFile("../../platform/testdata/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	err = signals.DuringSettings(t, syscall.SIGHUP, string(settings), func(pipe string) *exec.Cmd {
		c := exec.Command(os.Args[0], "entry", "-check")
		c.Env = append(os.Environ(), asProgram+"=1", "SESAMESTREAM_SETTINGS="+pipe)
		c.Stdout, c.Stderr = os.Stdout, os.Stderr
		return c
	})
	if err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

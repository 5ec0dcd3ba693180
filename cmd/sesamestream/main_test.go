package main

import (
	"errors"
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

// A SIGHUP that comes before the settings are read doesn't end the process;
// what ends it here is that they don't hold.
func TestReloadWhileStarting(t *testing.T) {
	err := signals.DuringSettings(t, syscall.SIGHUP, "role: nothing\n", func(pipe string) *exec.Cmd {
		c := exec.Command(os.Args[0], "agent", "--settings", pipe)
		c.Env = append(os.Environ(), asProgram+"=1")
		c.Stdout, c.Stderr = os.Stdout, os.Stderr
		return c
	})
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitInvalid {
		t.Errorf("the process ended with %v, want exit code %d", err, exitInvalid)
	}
}

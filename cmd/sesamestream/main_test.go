package main

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"

	"github.com/sesamestream/sesamestream/test/signals"
)

func TestMain(m *testing.M) { signals.Main(m, run) }

// A SIGHUP that comes before the settings are read doesn't end the process;
// what ends it here is that they don't hold.
func TestReloadWhileStarting(t *testing.T) {
	err := signals.DuringSettings(t, syscall.SIGHUP, "role: nothing\n", func(pipe string) *exec.Cmd {
		return signals.Program("agent", "--settings", pipe)
	})
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitInvalid {
		t.Errorf("the process ended with %v, want exit code %d", err, exitInvalid)
	}
}

package main

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"

	"github.com/sesamestream/sesamestream/test/signals"
)

func TestMain(m *testing.M) { signals.Main(m, run) }

// TestReloadWhileStarting checks that a SIGHUP before the settings are read does not end the process.
// Here the process ends because the settings are invalid.
func TestReloadWhileStarting(t *testing.T) {
	err := signals.SendDuringSettings(t, syscall.SIGHUP, "role: nothing\n", func(pipe string) *exec.Cmd {
		return signals.ProgramCommand("agent", "--settings", pipe)
	})
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitInvalid {
		t.Errorf("the process ended with %v, want exit code %d", err, exitInvalid)
	}
}

package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/sesamestream/sesamestream/test/signals"
)

func TestMain(m *testing.M) { signals.Main(m, run) }

// TestReloadWhileStarting checks that a SIGHUP before the settings are read does not end the process,
// which soak seed 211 reported as "ended by itself: signal: hangup".
func TestReloadWhileStarting(t *testing.T) {
	settings, err := os.ReadFile("../../platform/testdata/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	err = signals.SendDuringSettings(t, syscall.SIGHUP, string(settings), func(pipe string) *exec.Cmd {
		c := signals.ProgramCommand("entry", "-check")
		c.Env = append(c.Env, "SESAMESTREAM_SETTINGS="+pipe)
		return c
	})
	if err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

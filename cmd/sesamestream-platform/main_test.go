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

const settings = `nodeName = "n"
ip = "127.0.0.1"
zone = "z"
region = "r"
internalPorts = [7720,7735]
[listenAddrs]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
[limits]
cpuShare = 0.4
[bounds]
holdMaxMs = 6000
graceS = 6
status_s = 600
[platform]
address = "127.0.0.1:8169"
ttlMinMs = 1000
`

// A SIGHUP that comes before the settings are read doesn't end the process
// (soak seed 211: "ended by itself: signal: hangup").
func TestReloadWhileStarting(t *testing.T) {
	err := signals.DuringSettings(t, syscall.SIGHUP, settings, func(pipe string) *exec.Cmd {
		c := exec.Command(os.Args[0], "entry", "-check")
		c.Env = append(os.Environ(), asProgram+"=1", "SESAMESTREAM_SETTINGS="+pipe)
		c.Stdout, c.Stderr = os.Stdout, os.Stderr
		return c
	})
	if err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

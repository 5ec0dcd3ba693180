// Package signals tests how a program handles a signal that arrives while it
// reads its settings. The test binary runs itself as the program.
package signals

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// asProgramEnv is the environment variable that makes the test binary run the program.
const asProgramEnv = "SESAMESTREAM_TEST_AS_PROGRAM"

// Main runs the tests or, in a process started by ProgramCommand, the program.
func Main(m *testing.M, program func() int) {
	if os.Getenv(asProgramEnv) != "" {
		os.Exit(program())
	}
	os.Exit(m.Run())
}

// ProgramCommand returns a command that runs the program with args.
func ProgramCommand(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asProgramEnv+"=1")
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	return c
}

// SendDuringSettings starts a command that reads its settings from a pipe. It sends
// s once the command has opened the pipe, then writes the settings, and returns
// the result of waiting for the command.
func SendDuringSettings(t *testing.T, s os.Signal, settings string, command func(pipe string) *exec.Cmd) error {
	t.Helper()
	pipe := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	c := command(pipe)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	// OpenFile blocks until the program has opened the other end of the pipe.
	f, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString(settings); err != nil {
		t.Log("the program doesn't read its settings any more:", err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return c.Wait()
}

// Package signals checks what a program does with a signal that comes while it
// still reads its settings. A test binary stands for the program.
package signals

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// asProgram is set in the environment of a test binary that is to be the program.
const asProgram = "SESAMESTREAM_TEST_AS_PROGRAM"

// Main runs the tests, or the program in a process that Program describes.
func Main(m *testing.M, program func() int) {
	if os.Getenv(asProgram) != "" {
		os.Exit(program())
	}
	os.Exit(m.Run())
}

// ProgramCommand returns a command that runs the program with arguments.
func ProgramCommand(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asProgram+"=1")
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	return c
}

// SendDuringSettings starts the command, which reads its settings from a pipe, sends
// s once it has opened them, hands the settings over, and returns how the
// program ended.
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
	// This returns once the program has opened the other end.
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

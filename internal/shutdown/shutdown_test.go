package shutdown

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/test/signals"
)

// exitSurvived is the exit code of the program if the second signal didn't end it.
const exitSurvived = 3

func TestMain(m *testing.M) { signals.Main(m, program) }

// program sends itself a signal, and a second one as soon as the context has ended.
func program() int {
	ctx, stop := Context(context.Background())
	defer stop()
	self := os.Getpid()
	if err := syscall.Kill(self, syscall.SIGTERM); err != nil {
		return 1
	}
	<-ctx.Done()
	if err := syscall.Kill(self, syscall.SIGTERM); err != nil {
		return 1
	}
	time.Sleep(time.Second)
	return exitSurvived
}

// A process that has begun to shut down must not take a second signal for the first
// one: the signal may arrive before any other goroutine has run.
func TestSecondSignalEndsTheProcess(t *testing.T) {
	for i := range 40 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			err := signals.ProgramCommand().Run()
			var x *exec.ExitError
			if !errors.As(err, &x) {
				t.Fatalf("the program ended with %v", err)
			}
			if w := x.Sys().(syscall.WaitStatus); !w.Signaled() || w.Signal() != syscall.SIGTERM {
				t.Errorf("the program ended with %v, not by the second signal", err)
			}
		})
	}
}

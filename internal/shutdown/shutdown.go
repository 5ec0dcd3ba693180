// Package shutdown ends a process on signals: the first one starts a graceful
// shutdown, a second one ends the process at once.
package shutdown

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Context returns a context that ends at the first SIGTERM or SIGINT. These signals
// have their default effect again before the context ends, so that a second one
// ends the process however early in the shutdown it arrives. stop ends the context
// and restores the default effect too.
func Context(parent context.Context) (ctx context.Context, stop context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop = context.WithCancel(parent)
	go func() {
		select {
		case <-signals:
		case <-ctx.Done():
		}
		signal.Stop(signals)
		resend(signals)
		stop()
	}()
	return ctx, stop
}

// resend sends a signal that was caught beside the first one to the process again,
// which it ends.
func resend(caught <-chan os.Signal) {
	select {
	case s := <-caught:
		if err := syscall.Kill(os.Getpid(), s.(syscall.Signal)); err != nil {
			fmt.Fprintln(os.Stderr, "shutdown: send the second signal again:", err)
		}
	default:
	}
}

package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errStalled is the cause with which a context of WithStallTimeout ends.
var errStalled = errors.New("kv: transfer stalled")

// A stallTimer ends the context of a call that makes no progress.
type stallTimer struct {
	timer *time.Timer
	stall time.Duration
}

type stallTimerKey struct{}

// WithStallTimeout returns a context that ends once a call with it has made no progress: none
// within first, or none within stall since the last. Unlike a deadline it doesn't limit the
// duration of a transfer, which depends on the size of the values and on the links.
func WithStallTimeout(ctx context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &stallTimer{timer: time.AfterFunc(first, func() { cancel(errStalled) }), stall: stall}
	return context.WithValue(ctx, stallTimerKey{}, t), func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// Progress notes that a part of the call with ctx has been transferred. A Store calls it for
// each part.
func Progress(ctx context.Context) {
	// A timer that has fired or was stopped isn't started again.
	if t, ok := ctx.Value(stallTimerKey{}).(*stallTimer); ok && t.timer.Stop() {
		t.timer.Reset(t.stall)
	}
}

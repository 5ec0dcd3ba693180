package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/kv"
)

func TestStallTimeout(t *testing.T) {
	const first, stall = 300 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		// progress are the pauses before the parts of a transfer.
		progress []time.Duration
		// end is when the context ends.
		end time.Duration
	}{
		"no progress":            {nil, first},
		"one part":               {[]time.Duration{250 * time.Millisecond}, 350 * time.Millisecond},
		"an early part":          {[]time.Duration{0}, stall},
		"parts for longer":       {[]time.Duration{200 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond}, 570 * time.Millisecond},
		"a part after the end":   {[]time.Duration{400 * time.Millisecond}, first},
		"a part after a silence": {[]time.Duration{50 * time.Millisecond, 200 * time.Millisecond}, 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				ctx, cancel := kv.WithStallTimeout(t.Context(), first, stall)
				defer cancel()
				go func() {
					for _, d := range c.progress {
						time.Sleep(d)
						kv.Progress(ctx)
					}
				}()
				<-ctx.Done()
				g.Expect(time.Since(began)).To(Equal(c.end))
				time.Sleep(time.Second)
				g.Expect(context.Cause(ctx)).To(MatchError("kv: transfer stalled"))
			})
		})
	}
}

func TestStallTimeoutIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := kv.WithStallTimeout(t.Context(), time.Second, time.Second)
		cancel()
		kv.Progress(ctx)
		kv.Progress(t.Context())
		time.Sleep(5 * time.Second)
		g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
	})
}

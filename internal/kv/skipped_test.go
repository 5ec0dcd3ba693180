package kv_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

// maxConfigAge is the time within which a configuration has to be in force.
const maxConfigAge = 3 * time.Second

// A follower that continues from the revision of an empty reply never learns of a change that the
// reply has skipped.
func TestFollowLearnsOfSkippedChanges(t *testing.T) {
	for name, c := range map[string]struct {
		// silence is how long replies skip changes, from before the change.
		silence time.Duration
		compact bool
	}{
		"part of a watch":         {300 * time.Millisecond, false},
		"one watch":               {1100 * time.Millisecond, false},
		"one watch, compacted":    {1100 * time.Millisecond, true},
		"several watches":         {2200 * time.Millisecond, false},
		"several, then compacted": {2200 * time.Millisecond, true},
	} {
		for _, phase := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 950 * time.Millisecond} {
			t.Run(name+", "+phase.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := followKey(t)
					time.Sleep(3*time.Second + phase)
					f.client.Set(memory.Faults{SkipWatchEvents: true})
					f.store.Put("k", []byte("second"))
					time.Sleep(c.silence)
					f.store.Put("other", nil)
					if c.compact {
						f.store.Compact()
					}
					f.client.Set(memory.Faults{})
					time.Sleep(maxConfigAge - c.silence)
					g.Expect(f.known()).To(Equal("second"))
				})
			})
		}
	}
}

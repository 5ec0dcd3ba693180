package interfere

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A host is told again only of what it can't know from before.
func TestLessonCovers(t *testing.T) {
	entry := func(v, d fleet.Kind, w float32) Entry { return Entry{Pair: Pair{Victim: v, Disturber: d}, Weight: w} }
	idle := func(d time.Duration) map[fleet.Kind]time.Duration { return map[fleet.Kind]time.Duration{"v": d} }
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		before, now Lesson
		want        bool
	}{
		"nothing to know":        {Lesson{}, Lesson{}, true},
		"a new pair":             {Lesson{}, Lesson{Entries: []Entry{entry("v", "d", 0.3)}}, false},
		"a pair that went":       {Lesson{Entries: []Entry{entry("v", "d", 0.3)}}, Lesson{}, true},
		"about the same":         {Lesson{Entries: []Entry{entry("v", "d", 0.3)}}, Lesson{Entries: []Entry{entry("v", "d", 0.31)}}, true},
		"another weight":         {Lesson{Entries: []Entry{entry("v", "d", 0.3)}}, Lesson{Entries: []Entry{entry("v", "d", 0.4)}}, false},
		"a least tail that fell": {Lesson{Idle: idle(12 * ms)}, Lesson{Idle: idle(10 * ms)}, false},
		"a first least tail":     {Lesson{}, Lesson{Idle: idle(10 * ms)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.before.Covers(c.now)).To(Equal(c.want))
		})
	}
}

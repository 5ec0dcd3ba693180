package kv_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/kv"
)

func TestCursor(t *testing.T) {
	type reply struct {
		at     time.Duration
		events int
		upto   kv.Revision
		want   kv.Revision
	}
	for name, replies := range map[string][]reply{
		"events move it at once":         {{0, 1, 12, 12}, {time.Second, 2, 15, 15}},
		"an empty reply doesn't":         {{0, 0, 12, 10}, {time.Second, 0, 13, 10}, {2900 * time.Millisecond, 0, 14, 10}},
		"an empty reply does later":      {{0, 0, 12, 10}, {time.Second, 0, 13, 10}, {3 * time.Second, 0, 14, 12}, {4 * time.Second, 0, 15, 12}, {6 * time.Second, 0, 16, 14}},
		"events after empty replies":     {{0, 0, 12, 10}, {time.Second, 1, 13, 13}, {4 * time.Second, 0, 14, 13}},
		"an earlier revision is ignored": {{0, 1, 9, 10}, {time.Second, 0, 8, 10}, {5 * time.Second, 0, 12, 10}, {9 * time.Second, 0, 13, 12}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, begin := kv.NewCursor(10), time.Unix(1000, 0)
			for _, r := range replies {
				c.Advance(begin.Add(r.at), r.events, r.upto)
				g.Expect(c.From()).To(Equal(r.want), "after %s", r.at)
			}
		})
	}
}

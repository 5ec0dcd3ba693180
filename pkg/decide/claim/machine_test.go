package claim

import (
	"flag"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() { _ = flag.Set("rapid.seed", "7") }

// TestKeyIsGrantedOnce checks that callers see at most one grant of a key within its retention,
// unless the earlier grant did not run, while owners lose replies, commits and the shard.
func TestKeyIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e6, 0)
		m := &Machine{MaxKeys: 3, Retention: time.Hour}
		var journal []Record
		var pending []Commit
		granted := map[Digest]uint64{}
		notRun := map[Digest]uint64{}
		claimed := map[Digest]time.Time{}
		last := map[Digest]time.Time{}
		step := func(e Event) {
			for _, a := range m.Step(now, e, nil) {
				switch a := a.(type) {
				case Commit:
					pending = append(pending, a)
					if r := a.Records[0]; r.Op == OpGrant {
						claimed[r.Key] = now
					}
				case Reply:
					if m.Len() > 3 {
						t.Fatalf("%d keys are held, more than the limit", m.Len())
					}
					if a.Err != nil {
						continue
					}
					kept := now.Sub(last[a.Key]) <= time.Hour
					if g := granted[a.Key]; g > 0 && g != notRun[a.Key] && kept {
						t.Fatalf("key granted a second time, as grant %d", a.Grant)
					}
					granted[a.Key] = a.Grant
					last[a.Key] = claimed[a.Key]
				}
			}
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			k := KeyDigest("alert", rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"))
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0, 1:
				step(Claim{Key: k})
			case 2, 3:
				for _, c := range pending {
					journal = append(journal, c.Records...)
					step(Committed{Token: c.Token})
				}
				pending = nil
			case 4:
				step(StoreUnavailable{})
			case 5:
				if g := granted[k]; g > 0 && notRun[k] < g && rapid.Bool().Draw(t, "not run") {
					notRun[k] = g
					step(Report{Key: k, Grant: g, Outcome: fleet.NotRun})
				} else if notRun[k] < g {
					step(Report{Key: k, Grant: g, Outcome: fleet.Answered})
				}
			case 6:
				if rapid.Bool().Draw(t, "written") && len(pending) > 0 {
					journal = append(journal, pending[0].Records...)
				}
				pending = nil
				step(OwnershipLost{})
				m = &Machine{MaxKeys: 3, Retention: time.Hour}
				for _, r := range journal {
					m.Apply(r)
				}
			case 7:
				now = now.Add(10 * time.Minute)
			}
		}
	})
}

func TestRepeatedClaimReturnsOutcome(t *testing.T) {
	m := &Machine{}
	now := time.Unix(1e6, 0)
	k := KeyDigest("alert", "a")
	m.Step(now, Claim{Key: k}, nil)
	m.Step(now, Committed{Token: 1}, nil)
	m.Step(now, Report{Key: k, Grant: 1, Outcome: fleet.Answered}, nil)
	m.Step(now, Committed{Token: 2}, nil)
	out := m.Step(now, Claim{Key: k, Request: 9}, nil)
	r, ok := out[0].(Reply)
	if !ok || !errors.Is(r.Err, ErrAlreadyGranted) || r.Outcome != fleet.Answered || r.Request != 9 {
		t.Fatalf("got %+v", out)
	}
	if m.Step(now.Add(26*time.Hour), Report{}, nil); m.Len() != 0 {
		t.Fatal("key is still held after its retention")
	}
}

func FuzzDecode(f *testing.F) {
	b, _ := Record{Version: Version, Op: OpGrant, Grant: 1}.Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		(&Machine{}).Apply(r)
		if _, err := r.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

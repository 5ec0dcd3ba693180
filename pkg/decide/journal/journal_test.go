package journal

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "400")
}

// A testStore is a store and its owners, whose writes can fail, be delayed or have an unknown outcome.
type testStore struct {
	t             *rapid.T
	log           map[Position]Segment
	last          Position
	trimmed       Position
	manifestIndex uint64
	delayedWrites []Write
	owners        []*testOwner
	acknowledged  map[string]Mark
	refused       map[string]bool
	// written holds all records ever written, including trimmed ones.
	written map[string]bool
	tickets Ticket
}

// A testOwner is an owner, its outstanding action and the record of each of its tickets.
type testOwner struct {
	Machine
	pendingAction Action
	names         map[Ticket]string
}

// create writes a segment if the position is free and the manifest unchanged.
func (w *testStore) create(a Write) bool {
	if _, ok := w.log[a.Position]; ok || a.ManifestIndex != w.manifestIndex {
		return false
	}
	if a.Position != w.last+1 {
		w.t.Fatalf("position %d written after %d", a.Position, w.last)
	}
	w.log[a.Position], w.last = a.Segment, a.Position
	for _, r := range a.Segment.Records {
		w.written[string(r)] = true
	}
	return true
}

func (w *testStore) step(o *testOwner, e Event) {
	for _, a := range o.Step(time.Time{}, e, nil) {
		switch a := a.(type) {
		case Committed:
			w.acknowledged[o.names[a.Ticket]] = a.Mark
		case Refused:
			n := o.names[a.Ticket]
			w.refused[n] = a.Reason != OutcomeUnknown
			if w.refused[n] && w.written[n] {
				w.t.Fatalf("%s was refused although it is or was in the journal", n)
			}
		case Ready, Reopen, Fenced:
		default:
			if o.pendingAction != nil {
				w.t.Fatalf("%T requested while %T is outstanding", a, o.pendingAction)
			}
			o.pendingAction = a
		}
	}
}

// perform carries out the owner's outstanding action, with the given fault.
func (w *testStore) perform(o *testOwner, fault int) {
	a := o.pendingAction
	o.pendingAction = nil
	switch a := a.(type) {
	case AcquirePermit:
		w.step(o, PermitAcquired{})
	case Backoff:
		w.step(o, BackoffEnded{})
	case Write:
		switch fault {
		case 1:
			w.step(o, WriteCompleted{WriteFailed})
		case 2:
			w.delayedWrites = append(w.delayedWrites, a)
			w.step(o, WriteCompleted{WriteUnknown})
		case 3:
			w.create(a)
			w.step(o, WriteCompleted{WriteUnknown})
		default:
			w.step(o, WriteCompleted{map[bool]Result{true: WriteDone, false: WriteConflict}[w.create(a)]})
		}
	case ReadSegment:
		if fault == 1 {
			w.step(o, ReadFailed{})
		} else if s, ok := w.log[a.Position]; ok && a.Position > w.trimmed {
			w.step(o, SegmentRead{&s})
		} else {
			w.step(o, SegmentRead{})
		}
	case ReadManifest:
		if fault == 1 {
			w.step(o, ReadFailed{})
		} else {
			w.step(o, ManifestRead{w.trimmed, w.manifestIndex})
		}
	}
}

func (w *testStore) open(o *testOwner) {
	if o.stage == stageClosed {
		o.pendingAction = nil
		w.step(o, Opened{w.last, w.manifestIndex})
	}
}

// trim deletes the segments before a random position. Creates at the deleted positions could
// succeed again, so only the check of the manifest prevents them.
func (w *testStore) trim(o *testOwner) {
	if !o.IsOwner() || o.lastPosition < 2 || o.manifestIndex != w.manifestIndex {
		return
	}
	p := Position(rapid.Uint64Range(1, uint64(o.lastPosition)).Draw(w.t, "trim"))
	w.manifestIndex++
	w.step(o, ManifestUpdated{w.manifestIndex})
	for ; w.trimmed+1 < p; w.trimmed++ {
		w.checkPosition(w.trimmed + 1)
		delete(w.log, w.trimmed+1)
	}
}

// checkPosition checks that the segment at p holds no refused record, and each acknowledged
// record only at its mark.
func (w *testStore) checkPosition(p Position) {
	for i, r := range w.log[p].Records {
		n := string(r)
		if w.refused[n] {
			w.t.Fatalf("%s was refused but is at position %d", n, p)
		}
		if m, ok := w.acknowledged[n]; ok && m != (Mark{p, i + 1}) {
			w.t.Fatalf("%s was committed at %v but is at %d.%d", n, m, p, i+1)
		}
		delete(w.acknowledged, n)
	}
}

// TestConcurrentOwnersKeepCommittedRecords lets three owners write to one store with lost and
// delayed writes and trims. Committed records stay at their marks and refused ones never appear.
func TestConcurrentOwnersKeepCommittedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &testStore{t: t, log: map[Position]Segment{}, acknowledged: map[string]Mark{}, refused: map[string]bool{}, written: map[string]bool{}}
		for i := range 3 {
			o := &testOwner{names: map[Ticket]string{}}
			o.Machine = Machine{Writer: fleet.ProcessIncarnation{ID: "o", Incarnation: fleet.Incarnation(i)}, MaxSegmentBytes: 300, MaxPendingBytes: 200}
			w.owners = append(w.owners, o)
			w.open(o)
		}
		pick := func() *testOwner { return rapid.SampledFrom(w.owners).Draw(t, "owner") }
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) { w.perform(pick(), rapid.IntRange(0, 6).Draw(t, "fault")) },
			"append": func(*rapid.T) {
				o := pick()
				w.tickets++
				o.names[w.tickets] = fmt.Sprint("r", w.tickets)
				w.step(o, Append{w.tickets, [][]byte{[]byte(o.names[w.tickets])}})
			},
			"cancel": func(t *rapid.T) {
				w.step(pick(), Cancel{Ticket(rapid.Uint64Range(0, uint64(w.tickets)).Draw(t, "ticket"))})
			},
			"late": func(t *rapid.T) {
				if n := len(w.delayedWrites); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					a := w.delayedWrites[i]
					w.delayedWrites = slices.Delete(w.delayedWrites, i, i+1)
					w.create(a)
				}
			},
			"open": func(*rapid.T) { w.open(pick()) },
			"trim": func(*rapid.T) { w.trim(pick()) },
			"": func(t *rapid.T) {
				for n, m := range w.acknowledged {
					s := w.log[m.Position]
					if m.Records > len(s.Records) || string(s.Records[m.Records-1]) != n {
						t.Fatalf("%s was committed at %v but is not there", n, m)
					}
				}
			},
		})
		// Without faults, every open owner completes its outstanding actions.
		for range 40 {
			for _, o := range w.owners {
				w.perform(o, 0)
			}
		}
		for _, o := range w.owners {
			if o.pendingAction != nil || len(o.queue)+len(o.inFlight) > 0 {
				t.Fatalf("%v still has the outstanding action %#v or queued appends", o.Writer, o.pendingAction)
			}
		}
		for p := w.trimmed + 1; p <= w.last; p++ {
			w.checkPosition(p)
		}
		if len(w.acknowledged) > 0 {
			t.Fatalf("committed records are missing: %v", w.acknowledged)
		}
	})
}

func FuzzDecode(f *testing.F) {
	b, _ := Encode(Segment{Writer: fleet.ProcessIncarnation{ID: "a", Incarnation: 1}, Counter: 2, Epoch: 1, Records: [][]byte{{1}}})
	c, _ := Encode(Manifest{Mark: Mark{3, 1}, Parts: 1, Name: "n"})
	f.Add(b)
	f.Add(c)
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Decode[Segment](b); err == nil {
			again, _ := Encode(s)
			if o, err := Decode[Segment](again); err != nil || !o.SameWrite(s) || len(o.Records) != len(s.Records) {
				t.Fatal("segment changed by encoding and decoding")
			}
		}
		_, _ = Decode[Manifest](b)
	})
}

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

// A world is a store with its owners, whose writes may be lost, late or answered by nothing.
type world struct {
	t        *rapid.T
	log      map[Position]Segment
	last     Position
	trimmed  Position
	index    uint64
	late     []Write
	owners   []*owner
	promised map[string]Mark
	refused  map[string]bool
	// stood holds the records that were written, also those trimmed since.
	stood   map[string]bool
	tickets Ticket
}

type owner struct {
	Machine
	ask   Action
	names map[Ticket]string
}

// create writes a segment if the store allows it.
func (w *world) create(a Write) bool {
	if _, ok := w.log[a.Position]; ok || a.ManifestIndex != w.index {
		return false
	}
	if a.Position != w.last+1 {
		w.t.Fatalf("position %d written after %d", a.Position, w.last)
	}
	w.log[a.Position], w.last = a.Segment, a.Position
	for _, r := range a.Segment.Records {
		w.stood[string(r)] = true
	}
	return true
}

func (w *world) step(o *owner, e Event) {
	for _, a := range o.Step(time.Time{}, e, nil) {
		switch a := a.(type) {
		case Committed:
			w.promised[o.names[a.Ticket]] = a.Mark
		case Refused:
			n := o.names[a.Ticket]
			w.refused[n] = a.Reason != OutcomeUnknown
			if w.refused[n] && w.stood[n] {
				w.t.Fatalf("%s was refused and stood in the journal", n)
			}
		case Ready, Reopen, Fenced:
		default:
			if o.ask != nil {
				w.t.Fatalf("%T asked for while %T is outstanding", a, o.ask)
			}
			o.ask = a
		}
	}
}

// answer carries out what the owner asked for, with a fault where one is drawn.
func (w *world) answer(o *owner, fault int) {
	a := o.ask
	o.ask = nil
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
			w.late = append(w.late, a)
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
			w.step(o, ManifestRead{w.trimmed, w.index})
		}
	}
}

func (w *world) open(o *owner) {
	if o.stage == closed {
		o.ask = nil
		w.step(o, Opened{w.last, w.index})
	}
}

// trim deletes the segments up to one position: the store forgets them and a create there would pass.
func (w *world) trim(o *owner) {
	if !o.IsOwner() || o.last < 2 || o.index != w.index {
		return
	}
	p := Position(rapid.Uint64Range(1, uint64(o.last)).Draw(w.t, "trim"))
	w.index++
	w.step(o, ManifestUpdated{w.index})
	for ; w.trimmed+1 < p; w.trimmed++ {
		w.promise(w.trimmed + 1)
		delete(w.log, w.trimmed+1)
	}
}

// promise checks that what was promised at p stands there once, and what was refused does not.
func (w *world) promise(p Position) {
	for i, r := range w.log[p].Records {
		n := string(r)
		if w.refused[n] {
			w.t.Fatalf("%s was refused and stands at %d", n, p)
		}
		if m, ok := w.promised[n]; ok && m != (Mark{p, i + 1}) {
			w.t.Fatalf("%s was promised at %v and stands at %d.%d", n, m, p, i+1)
		}
		delete(w.promised, n)
	}
}

func TestConcurrentOwnersKeepCommittedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, log: map[Position]Segment{}, promised: map[string]Mark{}, refused: map[string]bool{}, stood: map[string]bool{}}
		for i := range 3 {
			o := &owner{names: map[Ticket]string{}}
			o.Machine = Machine{Writer: fleet.ProcessIncarnation{ID: "o", Incarnation: fleet.Incarnation(i)}, MaxSegmentBytes: 300, MaxPendingBytes: 200}
			w.owners = append(w.owners, o)
			w.open(o)
		}
		pick := func() *owner { return rapid.SampledFrom(w.owners).Draw(t, "owner") }
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) { w.answer(pick(), rapid.IntRange(0, 6).Draw(t, "fault")) },
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
				if n := len(w.late); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					a := w.late[i]
					w.late = slices.Delete(w.late, i, i+1)
					w.create(a)
				}
			},
			"open": func(*rapid.T) { w.open(pick()) },
			"trim": func(*rapid.T) { w.trim(pick()) },
			"": func(t *rapid.T) {
				for n, m := range w.promised {
					s := w.log[m.Position]
					if m.Records > len(s.Records) || string(s.Records[m.Records-1]) != n {
						t.Fatalf("%s was promised at %v and is not there", n, m)
					}
				}
			},
		})
		// With the store answering, every open owner ends with nothing outstanding.
		for range 40 {
			for _, o := range w.owners {
				w.answer(o, 0)
			}
		}
		for _, o := range w.owners {
			if o.ask != nil || len(o.queue)+len(o.flight) > 0 {
				t.Fatalf("%v stalls at %#v", o.Writer, o.ask)
			}
		}
		for p := w.trimmed + 1; p <= w.last; p++ {
			w.promise(p)
		}
		if len(w.promised) > 0 {
			t.Fatalf("lost %v", w.promised)
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
				t.Fatal("segment changed")
			}
		}
		_, _ = Decode[Manifest](b)
	})
}

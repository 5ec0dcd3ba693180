package link_test

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Messages arrive in the order in which they were sent, also when they are queued first.
func TestMessagesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		from, to := link.New(a), link.New(b)
		const n = 500
		for i := range n {
			from.Send(link.Message{Ping: &link.Ping{Sent: int64(i)}})
		}
		var got []int64
		done := make(chan error)
		go func() { done <- to.Read(func(m link.Message) { got = append(got, m.Ping.Sent) }) }()
		synctest.Wait()
		g.Expect(got).To(HaveLen(n))
		for i, v := range got {
			g.Expect(v).To(Equal(int64(i)))
		}
		from.Close()
		g.Expect(<-done).To(MatchError(link.ErrClosed))
	})
}

// A peer that doesn't read may not grow the sender's queue without bound: the link is closed.
func TestLinkWithBlockedReaderIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		l := link.New(a)
		ended := func() bool {
			select {
			case <-l.Done():
				return true
			default:
				return false
			}
		}
		for range 10 {
			l.Send(link.Message{Ping: &link.Ping{}})
		}
		g.Expect(ended()).To(BeFalse())
		for range 10000 {
			l.Send(link.Message{Ping: &link.Ping{}})
		}
		g.Expect(ended()).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(b.Close()).To(Succeed())
	})
}

// Guards against large buffers per idle link: a scheduler of the target size
// holds 3,800 links in half of 256 MB. At 0.75 MB each, 300 processes take 133 MB.
func TestIdleLinkMemory(t *testing.T) {
	const links, most = 200, 128 << 20 / 3800
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var ls []*link.Conn
	for range links {
		a, _ := net.Pipe()
		ls = append(ls, link.New(a))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / links
	t.Logf("%d bytes a link", each)
	NewWithT(t).Expect(each).To(BeNumerically("<", int64(most)))
	for _, l := range ls {
		l.Close()
	}
}

// A process of an earlier version, which doesn't know a kind of message, reads it as an empty one.
func TestUnknownMessageIsReadAsEmpty(t *testing.T) {
	g := NewWithT(t)
	b, err := codec.Encode(link.Message{WorkerSilent: &link.WorkerSilent{Key: batch.WorkerKey{ID: "w", StartTime: 1}, Silent: true}})
	g.Expect(err).NotTo(HaveOccurred())
	type earlierMessage struct {
		WorkerGone *link.WorkerGone `cbor:"7,keyasint,omitempty"`
	}
	m, err := codec.Decode[earlierMessage](b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.WorkerGone).To(BeNil())
}

// What a stranger announces or leaves out may take neither memory nor a connection for long.
func TestFirstFrameOfAStranger(t *testing.T) {
	for name, sent := range map[string][]byte{
		"too large": {0, 1, 0, 0},
		"none":      nil,
		"cut":       {0, 0, 16, 0, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a, b := net.Pipe()
				go func() { _, _ = b.Write(sent) }()
				g.Expect(link.Accept(a).Read(func(link.Message) { t.Error("a message was read") })).To(HaveOccurred())
				g.Expect(b.Close()).To(Succeed())
			})
		})
	}
}

// A session outlives the time-out of its first frame, and its later frames may be large.
func TestLaterFramesAreNotBoundedAsTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		from, to := link.New(a), link.Accept(b)
		var sizes []int
		go func() { _ = to.Read(func(m link.Message) { sizes = append(sizes, len(m.Start.Spec)) }) }()
		for _, n := range []int{1, 1 << 20, 100_000} {
			from.Send(link.Message{Start: &link.Start{Spec: strings.Repeat("x", n)}})
			time.Sleep(time.Minute)
		}
		from.Close()
		synctest.Wait()
		g.Expect(sizes).To(Equal([]int{1, 1 << 20, 100_000}))
	})
}

// Callers' large jobs may not pile up in front of a scheduler that reads slowly, nor end the session
// with it.
func TestQueuedRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		from, to := link.New(a), link.New(b)
		for range 100 {
			from.Send(link.Message{JobAccepted: &link.JobAccepted{Value: make([]byte, 1<<20)}})
		}
		from.Send(link.Message{Ping: &link.Ping{Sent: 7}})
		jobs, pinged := 0, false
		go func() {
			_ = to.Read(func(m link.Message) {
				if m.JobAccepted != nil {
					jobs++
				}
				pinged = pinged || m.Ping != nil
			})
		}()
		time.Sleep(time.Second)
		from.Close()
		to.Close()
		synctest.Wait()
		g.Expect(jobs).To(BeNumerically("<=", 17), "one queue is written while another fills")
		g.Expect(pinged).To(BeTrue())
	})
}

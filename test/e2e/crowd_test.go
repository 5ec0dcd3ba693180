package e2e_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// What an entry may use: the memory of a node, and the descriptors that the test leaves it.
const (
	maxMemoryBytes = 256_000_000
	maxDescriptors = 600
)

// maxBody is the largest body in the settings of the examples.
const maxBody = 8 << 20

// crowdTimeout bounds the sending of one client, so that one that is neither served nor refused
// doesn't hold the test up.
const crowdTimeout = 3 * time.Second

// startEntry starts the entry with maxDescriptors descriptors.
func (r *rig) startEntry() *exec.Cmd {
	GinkgoHelper()
	binary := r.binary
	defer func() { r.binary = binary }()
	r.binary = filepath.Join(r.dir, "entry.sh")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", maxDescriptors, binary)
	Expect(os.WriteFile(r.binary, []byte(script), 0o700)).To(Succeed())
	return r.startProcess("entry", "entry-1")
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(pid int) int64 {
	GinkgoHelper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			n, err := strconv.ParseInt(f[1], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return n << 10
		}
	}
	Fail("no VmHWM")
	return 0
}

// A crowd is a number of clients that each send something and leave their connections open.
type crowd struct {
	clients int
	send    func(i int, w *bufio.Writer)
}

// join connects the crowd to an address and returns its connections.
func (c crowd) join(address string) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var clients sync.WaitGroup
	for i := range c.clients {
		clients.Go(func() {
			n, err := net.DialTimeout("tcp", address, crowdTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, n)
			mu.Unlock()
			_ = n.SetDeadline(time.Now().Add(crowdTimeout))
			w := bufio.NewWriterSize(n, 4<<10)
			c.send(i, w)
			_ = w.Flush()
		})
	}
	clients.Wait()
	return conns
}

func writeHead(w *bufio.Writer, header string) {
	_, _ = fmt.Fprintf(w, "POST /gust/beach HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", header)
}

// writeZeros sends n bytes in pieces.
func writeZeros(w *bufio.Writer, n, piece int, flush bool) {
	text := strings.Repeat("0", piece)
	for ; n > 0; n -= piece {
		if _, err := w.WriteString(text[:min(n, piece)]); err != nil {
			return
		}
		if flush && w.Flush() != nil {
			return
		}
	}
}

func writeChunks(w *bufio.Writer, n, chunk int) {
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("0", chunk))
	for ; n > 0; n -= chunk {
		if _, err := w.WriteString(text); err != nil {
			return
		}
	}
}

// Most clients stop just short of the end of what they send.
func short(i int) int {
	if i%8 == 0 {
		return 0
	}
	return 1
}

var _ = DescribeTable("an entry lives, stays within its machine and answers with clients outside the limits", func(c crowd) {
	r := newRig()
	r.start("store", "--listen", r.addr("8500"))
	r.startProcess("agent", "agent-1")
	r.startProcess("agent", "agent-2")
	e := r.startEntry()
	r.start("target", "--id", "t1", "--agent", r.addr("7102"), "--kind", "gust")
	Eventually(func() (string, error) {
		return r.runAsOperator("table", "set", filepath.Join(r.dir, "trial", "table.yaml"))
	}, "20s", "200ms").Should(ContainSubstring("accepted as revision 1"))
	answers := func() {
		GinkgoHelper()
		Eventually(func() (response, error) { return r.get("/gust/beach?b=1") }, "40s", "100ms").Should(HaveField("Outcome", "answered"))
	}
	answers()

	done := make(chan struct{})
	var peak atomic.Int64
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			d, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.Process.Pid))
			peak.Store(max(peak.Load(), int64(len(d))))
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	conns := c.join(r.addr("7002"))
	defer func() {
		for _, n := range conns {
			_ = n.Close()
		}
	}()
	answers()
	close(done)
	watcher.Wait()
	Expect(e.Process.Signal(syscall.Signal(0))).To(Succeed(), "the entry lives")
	GinkgoWriter.Printf("peak of resident memory %d kB, of descriptors %d\n", peakMemory(e.Process.Pid)/1024, peak.Load())
	Expect(peakMemory(e.Process.Pid)).To(BeNumerically("<=", maxMemoryBytes))
	Expect(peak.Load()).To(BeNumerically("<", maxDescriptors))
},
	Entry("announced bodies, whole", crowd{100, func(i int, w *bufio.Writer) {
		writeHead(w, fmt.Sprintf("Content-Length: %d", maxBody))
		writeZeros(w, maxBody-short(i), 32<<10, false)
	}}),
	Entry("announced bodies, in pieces", crowd{100, func(i int, w *bufio.Writer) {
		writeHead(w, fmt.Sprintf("Content-Length: %d", maxBody))
		writeZeros(w, maxBody-short(i), 2000, true)
	}}),
	Entry("large chunks", crowd{100, func(i int, w *bufio.Writer) {
		writeHead(w, "Transfer-Encoding: chunked")
		writeChunks(w, maxBody, 32<<10)
		if short(i) == 0 {
			_, _ = w.WriteString("0\r\n\r\n")
		}
	}}),
	Entry("small chunks", crowd{100, func(i int, w *bufio.Writer) {
		writeHead(w, "Transfer-Encoding: chunked")
		writeChunks(w, maxBody, 16)
		if short(i) == 0 {
			_, _ = w.WriteString("0\r\n\r\n")
		}
	}}),
	Entry("bodies over the limit, announced", crowd{100, func(i int, w *bufio.Writer) {
		writeHead(w, fmt.Sprintf("Content-Length: %d", 4*maxBody))
		writeZeros(w, 4*maxBody-short(i), 32<<10, false)
	}}),
	Entry("bodies over the limit, just sent", crowd{100, func(_ int, w *bufio.Writer) {
		writeHead(w, "Transfer-Encoding: chunked")
		writeChunks(w, 4*maxBody, 32<<10)
	}}),
	Entry("many connections with small bodies", crowd{700, func(i int, w *bufio.Writer) {
		writeHead(w, "Content-Length: 1000")
		writeZeros(w, 1000-short(i), 1000, false)
	}}),
	Entry("incomplete headers", crowd{700, func(_ int, w *bufio.Writer) {
		_, _ = w.WriteString("POST /gust/beach HTTP/1.1\r\nHost: h\r\n")
		for k := range 4000 {
			_, _ = fmt.Fprintf(w, "%x:\r\n", k)
		}
	}}),
)

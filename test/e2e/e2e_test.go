// Package e2e_test starts the built binary as separate processes.
package e2e_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A rig is one deployment of separate processes on loopback.
type rig struct {
	t      *testing.T
	binary string
	dir    string
}

func newRig(t *testing.T) *rig {
	g := NewWithT(t)
	r := &rig{t: t, dir: t.TempDir()}
	r.binary = filepath.Join(r.dir, "sesamestream")
	out, err := exec.Command("go", "build", "-o", r.binary, "../../cmd/sesamestream").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(os.CopyFS(filepath.Join(r.dir, "trial"), os.DirFS("../../examples/trial"))).To(Succeed())
	r.command("keys", "--dir", filepath.Join(r.dir, "trial", "keys"))
	return r
}

func (r *rig) command(args ...string) string {
	r.t.Helper()
	out, err := exec.Command(r.binary, args...).CombinedOutput()
	NewWithT(r.t).Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}

func (r *rig) start(args ...string) *exec.Cmd {
	r.t.Helper()
	c := exec.Command(r.binary, args...)
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("log-%s-%d", args[0], time.Now().UnixNano())))
	NewWithT(r.t).Expect(err).NotTo(HaveOccurred())
	c.Stdout, c.Stderr = log, log
	NewWithT(r.t).Expect(c.Start()).To(Succeed())
	r.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		b, _ := os.ReadFile(log.Name())
		if r.t.Failed() {
			r.t.Logf("%s:\n%s", strings.Join(args, " "), b)
		}
	})
	return c
}

func (r *rig) process(role, name string) *exec.Cmd {
	return r.start(role, "--settings", filepath.Join(r.dir, "trial", name+".yaml"))
}

type answer struct {
	Status  int
	Outcome string
	Body    string
}

func get(path string) (answer, error) {
	c := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://127.0.0.1:7002" + path)
	if err != nil {
		return answer{}, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return answer{w.StatusCode, w.Header.Get("Sesamestream-Outcome"), string(b)}, err
}

// operate calls an operator's command with the deployment's keys.
func (r *rig) operate(args ...string) (string, error) {
	keys := filepath.Join(r.dir, "trial", "keys")
	c := exec.Command(r.binary, args...)
	c.Env = append(os.Environ(), "SESAMESTREAM_AT=127.0.0.1:7001", "SESAMESTREAM_KEYS="+keys)
	out, err := c.CombinedOutput()
	return string(out), err
}

func TestWorkSurvivesTheKillOfAnAgent(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	r.start("store", "--listen", "127.0.0.1:8500")
	a1 := r.process("agent", "agent-1")
	r.process("agent", "agent-2")
	e := r.process("entry", "entry-1")
	r.start("target", "--id", "t1", "--agent", "127.0.0.1:7102", "--kind", "gust")
	r.start("target", "--id", "t2", "--agent", "127.0.0.1:7112", "--kind", "gust")
	r.start("worker", "--id", "w1", "--agent", "127.0.0.1:7102")
	r.start("worker", "--id", "w2", "--agent", "127.0.0.1:7112")

	g.Eventually(func() (string, error) {
		return r.operate("table", "set", filepath.Join(r.dir, "trial", "table.yaml"))
	}, "20s", "200ms").Should(ContainSubstring("accepted as revision 1"))
	g.Eventually(func() (answer, error) { return get("/gust/beach?b=1") }, "20s", "100ms").Should(
		HaveField("Outcome", "answered"))
	done := func(id string) func() (string, error) {
		return func() (string, error) { return r.operate("job", "get", id) }
	}
	g.Eventually(func() (string, error) {
		return r.operate("job", "submit", "--kind", "forecast", "--tasks", "4", "--command", "200ms", "first")
	}, "30s", "200ms").Should(ContainSubstring(`"phase"`))
	g.Eventually(done("first"), "20s", "100ms").Should(ContainSubstring(`"phase": "done"`))

	g.Expect(a1.Process.Kill()).To(Succeed())
	g.Eventually(func() (answer, error) { return get("/gust/beach?b=2") }, "20s", "100ms").Should(Equal(
		answer{200, "answered", "t2 GET /beach?b=2 "}))
	a, err := get("/nothing/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Outcome).To(Equal("notRun"))
	g.Eventually(func() (string, error) {
		return r.operate("job", "submit", "--kind", "forecast", "--tasks", "4", "--command", "200ms", "second")
	}, "60s", "200ms").Should(ContainSubstring(`"phase"`))
	g.Eventually(done("second"), "60s", "100ms").Should(ContainSubstring(`"phase": "done"`))

	g.Expect(e.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(e.Wait()).To(Succeed())
}

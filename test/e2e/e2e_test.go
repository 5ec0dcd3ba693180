// Package e2e_test tests deployments of the built binary as separate processes.
package e2e_test

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// A rig is one deployment of separate processes on loopback.
type rig struct {
	binary string
	dir    string
	// ports maps the ports of the examples to the free ports that replace them.
	ports map[string]string
}

// examplePorts are the ports in the settings of the examples.
var examplePorts = []string{"7000", "7001", "7002", "7100", "7101", "7102", "7110", "7111", "7112", "8500"}

// The range of ports to choose from. It lies below the ephemeral ports, which the
// system assigns to outgoing connections.
const (
	lowestPort = 12_000
	portCount  = 18_000
)

// freePort returns a port that is free for TCP and UDP and not in r.ports.
func (r *rig) freePort() string {
	for {
		at := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", at)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		p := strings.TrimPrefix(at, "127.0.0.1:")
		if !slices.Contains(slices.Collect(maps.Values(r.ports)), p) {
			return p
		}
	}
}

// addr returns the address that replaces a port of the examples.
func (r *rig) addr(port string) string { return "127.0.0.1:" + r.ports[port] }

// replacePorts replaces the ports of the examples in the copied settings.
func (r *rig) replacePorts() {
	r.ports = make(map[string]string)
	for _, p := range examplePorts {
		r.ports[p] = r.freePort()
	}
	files, err := filepath.Glob(filepath.Join(r.dir, "trial", "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		b, err := os.ReadFile(f)
		Expect(err).NotTo(HaveOccurred())
		s := string(b)
		for _, p := range examplePorts {
			s = strings.ReplaceAll(s, "127.0.0.1:"+p, "127.0.0.1:moved"+r.ports[p])
		}
		Expect(os.WriteFile(f, []byte(strings.ReplaceAll(s, ":moved", ":")), 0o600)).To(Succeed())
	}
}

func newRig() *rig {
	r := &rig{dir: GinkgoT().TempDir()}
	r.binary = filepath.Join(r.dir, "sesamestream")
	out, err := exec.Command("go", "build", "-o", r.binary, "../../cmd/sesamestream").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	Expect(os.CopyFS(filepath.Join(r.dir, "trial"), os.DirFS("../../examples/trial"))).To(Succeed())
	r.replacePorts()
	r.run("keys", "--dir", filepath.Join(r.dir, "trial", "keys"))
	return r
}

// run runs the program and returns its output. It fails the test if the program fails.
func (r *rig) run(args ...string) string {
	GinkgoHelper()
	out, err := exec.Command(r.binary, args...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}

// start starts the program and kills it at the end of the test. If the test failed,
// the log of the program is printed.
func (r *rig) start(args ...string) *exec.Cmd {
	GinkgoHelper()
	c := exec.Command(r.binary, args...)
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("log-%s-%d", args[0], time.Now().UnixNano())))
	Expect(err).NotTo(HaveOccurred())
	c.Stdout, c.Stderr = log, log
	Expect(c.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		b, _ := os.ReadFile(log.Name())
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("%s:\n%s\n", strings.Join(args, " "), b)
		}
	})
	return c
}

func (r *rig) startProcess(role, name string) *exec.Cmd {
	return r.start(role, "--settings", filepath.Join(r.dir, "trial", name+".yaml"))
}

type response struct {
	Status  int
	Outcome string
	Body    string
}

// get sends a GET request to the callers' address of the entry.
func (r *rig) get(path string) (response, error) {
	c := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://" + r.addr("7002") + path)
	if err != nil {
		return response{}, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return response{w.StatusCode, w.Header.Get("Sesamestream-Outcome"), string(b)}, err
}

// runAsOperator runs an operator command with the keys of the deployment.
func (r *rig) runAsOperator(args ...string) (string, error) {
	keys := filepath.Join(r.dir, "trial", "keys")
	c := exec.Command(r.binary, args...)
	c.Env = append(os.Environ(), "SESAMESTREAM_AT="+r.addr("7001"), "SESAMESTREAM_KEYS="+keys)
	out, err := c.CombinedOutput()
	return string(out), err
}

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deployment of separate processes")
}

var _ = Describe("a deployment", func() {
	It("serves requests and runs jobs after an agent is killed", func() {
		r := newRig()
		r.start("store", "--listen", r.addr("8500"))
		a1 := r.startProcess("agent", "agent-1")
		r.startProcess("agent", "agent-2")
		e := r.startProcess("entry", "entry-1")
		r.start("target", "--id", "t1", "--agent", r.addr("7102"), "--kind", "gust")
		r.start("target", "--id", "t2", "--agent", r.addr("7112"), "--kind", "gust")
		r.start("worker", "--id", "w1", "--agent", r.addr("7102"))
		r.start("worker", "--id", "w2", "--agent", r.addr("7112"))

		Eventually(func() (string, error) {
			return r.runAsOperator("table", "set", filepath.Join(r.dir, "trial", "table.yaml"))
		}, "20s", "200ms").Should(ContainSubstring("accepted as revision 1"))
		Eventually(func() (response, error) { return r.get("/gust/beach?b=1") }, "20s", "100ms").Should(
			HaveField("Outcome", "answered"))
		getJob := func(id string) func() (string, error) {
			return func() (string, error) { return r.runAsOperator("job", "get", id) }
		}
		Eventually(func() (string, error) {
			return r.runAsOperator("job", "submit", "--kind", "forecast", "--tasks", "4", "--command", "200ms", "first")
		}, "30s", "200ms").Should(ContainSubstring(`"phase"`))
		Eventually(getJob("first"), "20s", "100ms").Should(ContainSubstring(`"phase": "done"`))

		Expect(a1.Process.Kill()).To(Succeed())
		Eventually(func() (response, error) { return r.get("/gust/beach?b=2") }, "20s", "100ms").Should(Equal(
			response{200, "answered", "t2 GET /beach?b=2 "}))
		a, err := r.get("/nothing/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Outcome).To(Equal("notRun"))
		Eventually(func() (string, error) {
			return r.runAsOperator("job", "submit", "--kind", "forecast", "--tasks", "4", "--command", "200ms", "second")
		}, "60s", "200ms").Should(ContainSubstring(`"phase"`))
		Eventually(getJob("second"), "60s", "100ms").Should(ContainSubstring(`"phase": "done"`))

		Expect(e.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(e.Wait()).To(Succeed())
	})

	It("edits the table, rejects a conflicting edit, drains and stops", func() {
		r := newRig()
		r.start("store", "--listen", r.addr("8500"))
		a := r.startProcess("agent", "agent-1")
		r.startProcess("entry", "entry-1")
		r.start("worker", "--id", "w1", "--agent", r.addr("7102"))
		setTable := func() (string, error) {
			return r.runAsOperator("table", "set", filepath.Join(r.dir, "trial", "table.yaml"))
		}
		Eventually(setTable, "20s", "200ms").Should(ContainSubstring("accepted as revision 1"))

		out, err := r.runAsOperator("table", "edit", "--by", "an", "gust", "floor=0.35", "weight=9")
		Expect(err).NotTo(HaveOccurred(), out)
		out, err = r.runAsOperator("table", "edit", "--by", "binh", "--revision", "1", "gust", "floor=0.3")
		Expect(err).To(HaveOccurred())
		Expect(out).To(And(
			ContainSubstring("revision 2 by an was accepted first"),
			MatchRegexp(`accepted: class=request weight=9 floor=0.35`),
			MatchRegexp(`yours: +class=request weight=9 floor=0.3 `)))
		out, err = r.runAsOperator("table", "edit", "gust", "floor=0.9")
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("add up to"))
		Eventually(func() (string, error) { return r.runAsOperator("table", "get", "--format", "csv") }, "6s", "100ms").Should(
			And(ContainSubstring("revision,2"), ContainSubstring("kind,gust,request,9,0.35")))
		out, err = r.runAsOperator("table", "history")
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(MatchRegexp(`revision 2 .* an\n +kind gust: .*weight=8 floor=0.4 .* -> .*weight=9 floor=0.35`))

		Eventually(func() (string, error) { return r.runAsOperator("worker", "list") }, "20s", "200ms").Should(
			MatchRegexp(`agent-1 .* 8/8 .* open`))
		out, err = r.runAsOperator("worker", "drain", "agent-1")
		Expect(err).NotTo(HaveOccurred(), out)
		Eventually(func() (string, error) { return r.runAsOperator("worker", "list") }, "5s", "200ms").Should(ContainSubstring("draining"))
		Eventually(func() (string, error) { return r.runAsOperator("status") }, "10s", "200ms").Should(And(
			MatchRegexp(`entry-1 +entry +mui-ne .* 2 .* alive`), MatchRegexp(`agent-1 +agent +mui-ne .* 2 .* alive`)))

		Expect(a.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(a.Wait()).To(Succeed(), "the first signal drains and exits with 0")
	})

	It("ends a draining process at once on a second signal", func() {
		r := newRig()
		e := r.startProcess("entry", "entry-1")
		Eventually(func() error { _, err := r.get("/gust/x"); return err }, "20s", "50ms").Should(Succeed())
		Expect(e.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() int {
			w, err := http.Get("http://" + r.addr("7002") + "/ready")
			if err != nil {
				return 0
			}
			defer w.Body.Close()
			return w.StatusCode
		}, "5s", "20ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(e.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(e.Wait()).NotTo(Succeed())
	})

	It("reports each error of a checked file by line and column", func() {
		r := newRig()
		file := filepath.Join(r.dir, "bad.yaml")
		bad := "kinds:\n- {kind: gust, class: request, weight: 1, floor: 0.8, ceiling: 0.5, deadline: 1s}\n"
		Expect(os.WriteFile(file, []byte(bad), 0o600)).To(Succeed())
		out, err := r.runAsOperator("check", file)
		var x *exec.ExitError
		Expect(errors.As(err, &x)).To(BeTrue())
		Expect(x.ExitCode()).To(Equal(2))
		Expect(out).To(ContainSubstring("bad.yaml:2:64: $.kinds[0].ceiling: ceiling 0.5 is under floor 0.8"))
	})
})

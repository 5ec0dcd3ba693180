// Command rig2 plays the cases of the second review. It starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins for the
// platform's store, the workers and the clients, and records what these see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/platform/standin"
)

// The bounds of the deployment, as in the settings of the first site.
const (
	holdMax           = 6 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	storeAnswerTime   = 4 * time.Millisecond
	storeValueBytes   = 1 << 20
	// restartDelay is the pause before a process that ended is started again.
	restartDelay = 500 * time.Millisecond
)

// The names of the only service and of its host and prefix.
const (
	service    = "svc1"
	hostHeader = "jobs.example"
	prefix     = "/q1/"
	// advisedPrefix is that of the queue with advice.
	advisedPrefix = "/q2/"
)

// The ports of each process, on an address of its own.
const (
	portFront, portControl, portReady, portApp, portStore, portAdvice = 8161, 8166, 8167, 8165, 8169, 8170
)

// taskSpec is what a worker needs to know of a task.
type taskSpec struct {
	CPU, MemMb int
	// Work is how long the task runs; 0 is until it's stopped.
	Work time.Duration
	// FailsAfter is how long the task runs until it fails; 0 is never.
	FailsAfter time.Duration
	// Advised is set if a start needs a ticket of the policy service.
	Advised bool
	// Saves is set if the task saves checkpoints.
	Saves bool
}

// rig is one deployment with its record.
type rig struct {
	dir     string
	network string
	began   time.Time
	store   standin.Store
	client  http.Client

	mu       sync.Mutex
	record   io.Writer
	brokenBy []string
	specs    map[string][]taskSpec
	tickets  map[string]ticket
	texts    map[string]string
	nodes    []*node
	running  map[string]map[string]int
	doneAt   map[string]time.Time
	taken    map[string]bool
	starts   map[string]int
	ends     map[string]int
	quiet    bool
	// largest is the size of the largest value that a process wrote, refused or not.
	largest int
}

// node is one machine with the process that runs there.
type node struct {
	rig      *rig
	name, ip string
	agent    bool
	worker   *worker
	// storeBusy makes the store answer the calls of this machine with 503.
	mu        sync.Mutex
	storeBusy bool
	// lastHeartbeat is when the worker of the machine last sent a heartbeat.
	lastHeartbeat time.Time
	cmd           *exec.Cmd
	ended         chan struct{}
}

func newRig(record io.Writer) (*rig, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir: dir, record: record, began: time.Now(), specs: map[string][]taskSpec{}, tickets: map[string]ticket{}, texts: map[string]string{}, running: map[string]map[string]int{},
		doneAt: map[string]time.Time{}, taken: map[string]bool{}, starts: map[string]int{}, ends: map[string]int{},
		client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if free(r.network + "1") {
			return r, nil
		}
	}
	return nil, fmt.Errorf("rig2: no free loopback addresses")
}

// free reports whether the ports of a machine are free at an address.
func free(ip string) bool {
	for _, p := range []int{portFront, portControl, portReady, portApp, portStore, portAdvice, 7720, 9464} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *rig) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule is broken.
func (r *rig) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenLocked(rule, format, args...)
}

func (r *rig) brokenLocked(rule, format string, args ...any) {
	r.brokenBy = append(r.brokenBy, rule)
	r.noteLocked("BROKEN "+rule+": "+format, args...)
}

// spec returns what a worker needs to know of a task, false if no client sent it with that text.
func (r *rig) spec(task, text string) (taskSpec, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := strings.Split(task, ".")
	var step int
	if len(p) != 4 || r.texts[p[0]] != text {
		return taskSpec{}, false
	}
	if _, err := fmt.Sscan(p[2], &step); err != nil || step >= len(r.specs[p[0]]) {
		return taskSpec{}, false
	}
	return r.specs[p[0]][step], true
}

// runStarted records a start and checks it against the rule TWICE.
func (r *rig) runStarted(worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	if !r.quiet {
		r.noteLocked("worker %s: started %s run %d", worker, task, run)
	}
	for other, n := range r.running[task] {
		r.brokenLocked("TWICE", "%s run %d started on %s while run %d is at work on %s", task, run, worker, n, other)
	}
	if r.running[task] == nil {
		r.running[task] = map[string]int{}
	}
	r.running[task][worker] = run
	if at, ok := r.doneAt[task]; ok {
		r.noteLocked("worker %s: %s run %d starts %.3f s after a run of it ended done", worker, task, run, time.Since(at).Seconds())
		if r.taken[task] {
			r.brokenLocked("TWICE", "%s run %d started after that end was taken note of", task, run)
		} else {
			r.taken["again "+task] = true
		}
	}
}

// runEnded records the end of a run.
func (r *rig) runEnded(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[how]++
	if !r.quiet {
		r.noteLocked("worker %s: %s run %d ended %s", worker, task, run, how)
	}
	delete(r.running[task], worker)
	if how == "done" && r.doneAt[task].IsZero() {
		r.doneAt[task] = time.Now()
	}
}

// endTaken records that an end was taken note of, and checks that no start followed a done one.
func (r *rig) endTaken(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how != "done" {
		return
	}
	r.taken[task] = true
	if r.taken["again "+task] {
		delete(r.taken, "again "+task)
		r.brokenLocked("TWICE", "the end done of %s run %d on %s is taken note of, and the task was started after it", task, run, worker)
	}
}

// serve serves h at ip:port until the program ends.
func serve(ip string, port int, h http.Handler) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return nil
}

// addNode adds a machine with its address of the store and, for an agent, its worker.
func (r *rig) addNode(name string, w *worker) (*node, error) {
	n := &node{rig: r, name: name, ip: fmt.Sprintf("%s%d", r.network, len(r.nodes)+1), agent: w != nil, worker: w}
	r.nodes = append(r.nodes, n)
	if err := serve(n.ip, portStore, http.HandlerFunc(n.serveStore)); err != nil {
		return nil, err
	}
	if w != nil {
		w.address = fmt.Sprintf("%s:%d", n.ip, portApp)
		if err := serve(n.ip, portApp, w); err != nil {
			return nil, err
		}
		go func() {
			c := &http.Client{Timeout: time.Second}
			for seq := int64(1); ; seq++ {
				n.mu.Lock()
				n.lastHeartbeat = time.Now()
				n.mu.Unlock()
				w.heartbeat(c, fmt.Sprintf("%s:%d", n.ip, portControl), seq)
				time.Sleep(time.Until(n.lastHeartbeat.Add(heartbeatInterval)))
			}
		}()
	}
	return n, nil
}

// deploy starts an entry and a number of machines with a worker each, and waits until a job
// has run. The last worker has the label last too, if that isn't empty.
func (r *rig) deploy(workers int, last string) (entry *node, sides []*node, err error) {
	if entry, err = r.addNode("edge-1", nil); err != nil {
		return nil, nil, err
	}
	for i := range workers {
		labels := []string{"a", fmt.Sprintf("r%d", i/workersPerRack)}
		if last != "" && i == workers-1 {
			labels = append(labels, last)
		}
		n, err := r.addNode(fmt.Sprintf("side-%d", i+1), newWorker(r, fmt.Sprintf("w%d", i+1), labels))
		if err != nil {
			return nil, nil, err
		}
		sides = append(sides, n)
	}
	if err := serve(entry.ip, portAdvice, http.HandlerFunc(r.serveAdvice)); err != nil {
		return nil, nil, err
	}
	if err := r.configure(); err != nil {
		return nil, nil, err
	}
	for _, n := range append([]*node{entry}, sides...) {
		if err := n.start(); err != nil {
			return nil, nil, err
		}
	}
	return entry, sides, r.awaitReady(entry)
}

// workersPerRack is the number of workers in a rack of the first site.
const workersPerRack = 3

// serveStore answers the calls of one machine to the store.
func (n *node) serveStore(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n.mu.Lock()
	busy := n.storeBusy
	n.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeAnswerTime)
	if n.rig.tooLarge(r.URL.Path, b) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	n.rig.store.ServeHTTP(w, r)
}

// tooLarge reports whether a call writes a value above the settings' valueBytes.
func (r *rig) tooLarge(path string, body []byte) bool {
	var in struct {
		Puts []struct {
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	if path != "/api/kv-txn" || json.Unmarshal(body, &in) != nil {
		return false
	}
	over := false
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range in.Puts {
		r.largest = max(r.largest, len(p.Value))
		over = over || len(p.Value) > storeValueBytes
	}
	return over
}

// setStoreBusy sets whether the store refuses the calls of the machine.
func (n *node) setStoreBusy(busy bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeBusy = busy
}

func (n *node) settings() string {
	listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\n", n.ip, portFront, n.ip, portReady)
	head, class, cpu, memory := "", "edge", 0.4, 284
	if n.agent {
		listen = fmt.Sprintf("control = \"%s:%d\"\n", n.ip, portControl)
		head = fmt.Sprintf("app = \"%s:%d\"\nservice = %q\n", n.ip, portApp, service)
		class, cpu, memory = "side", 0.24, 152
	}
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = "z1"
region = "r1"
internalPorts = [7720,7735]
bootstrap = true
discovery = "local"
entry = "vip"
heartbeatMs = %d
orders = "rpc"
advice = "%s1:%d"
%s[zones]
z1 = "r1"
[listenAddrs]
%s[limits]
cpuShare = %.2f
cores = 1
memoryMb = %d
maxFds = 4096
linkMbps = 1000.0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 3000
graceS = 6
configApplyMs = 3000
holdMaxMs = %d
stopMs = 400
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "%s:%d"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = %d
ttlMinMs = 1000
`, n.name, class, class, class, n.ip, heartbeatInterval.Milliseconds(), n.rig.network, portAdvice, head, listen, cpu, memory, holdMax.Milliseconds(), n.ip, portStore, storeValueBytes)
}

// start starts the process of the machine.
func (n *node) start() error {
	role := "entry"
	if n.agent {
		role = "agent"
	}
	path := filepath.Join(n.rig.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/sesamestream-platform", role, "--metrics", "9464")
	c.Env = []string{"SESAMESTREAM_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = c, ended
	n.mu.Unlock()
	n.rig.note("%s started, pid %d", n.name, c.Process.Pid)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
	n.rig.note("%s: %v", n.name, s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// close ends all processes.
func (r *rig) close() {
	for _, n := range r.nodes {
		if n.cmd != nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		r.note("logs in %s", r.dir)
	}
}

// configure writes the operator's configuration.
func (r *rig) configure() error {
	v, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "q1", "host": hostHeader, "prefix": prefix, "service": service, "priority": 0, "maxAttempts": 2, "stretch": 1.5, "targetDurationMs": 600,
			},
			map[string]any{
				"name": "q2", "host": hostHeader, "prefix": advisedPrefix, "service": service, "priority": 1, "maxAttempts": 2, "stretch": 2, "targetDurationMs": 1000,
				"advice": map[string]int{"decisionMs": decisionMs, "perWorkerMs": perWorkerMs, "validMs": ticketMs},
			},
		},
		"services": []any{map[string]any{"name": service, "enforcesCapacity": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		return err
	}
	c := &memory.Client{Store: &r.store.Memory}
	_, err = c.Apply(context.Background(), kv.Change{Puts: []kv.Put{{Key: "op/config", Value: v}}})
	return err
}

// send makes one call and returns the status and the body.
func send(c *http.Client, method, url string, header http.Header, body any) (int, []byte, error) {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		in = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(context.Background(), method, url, in)
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		q.Header[k] = v
	}
	if h := header.Get("Host"); h != "" {
		q.Host = h
	}
	a, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, b, err
}

// call makes a client's call to an entry.
func (r *rig) call(n *node, method, path string, body any) (int, string) {
	h := http.Header{"X-Deadline-Ms": {"3000"}, "Content-Type": {"application/json"}, "Host": {hostHeader}}
	status, b, err := send(&r.client, method, fmt.Sprintf("http://%s:%d%s", n.ip, portFront, path), h, body)
	if err != nil {
		return 0, err.Error()
	}
	return status, strings.TrimSpace(string(b))
}

// A step is a step of a job as a client sends it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMb         int    `json:"memMb,omitempty"`
	EstDurationMs int    `json:"estDurationMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Requires      string `json:"requires,omitempty"`
	Checkpoint    bool   `json:"checkpoint,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
}

// A job is a job as a client sends it.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	// failsAfter is when each run of its tasks fails; 0 is never.
	failsAfter time.Duration
}

// submit hands a job in until it's accepted, and returns its ID.
func (r *rig) submit(n *node, j job) (string, error) { return r.submitTo(n, prefix, j) }

// submitTo is submit for the queue with a prefix.
func (r *rig) submitTo(n *node, prefix string, j job) (string, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	var specs []taskSpec
	for _, s := range j.Steps {
		x := taskSpec{CPU: s.CPU, MemMb: s.MemMb, Work: time.Duration(s.EstDurationMs) * time.Millisecond, Saves: s.Checkpoint, FailsAfter: j.failsAfter, Advised: prefix == advisedPrefix}
		if s.LongRunning {
			x.Work = 0
		}
		specs = append(specs, x)
	}
	r.mu.Lock()
	r.specs[id], r.texts[id] = specs, j.Spec
	r.mu.Unlock()
	for range 20 {
		status, body := r.call(n, http.MethodPost, prefix+id, j)
		r.note("client: POST %s at %s -> %d %s", id, n.name, status, body)
		if status == http.StatusOK {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("rig2: job %s was not accepted", id)
}

// awaitReady waits until the entry is ready and a probe job has run.
func (r *rig) awaitReady(n *node) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, _, err := send(&r.client, http.MethodGet, fmt.Sprintf("http://%s:%d/api/readyz", n.ip, portReady), nil, nil)
		if err == nil && status == http.StatusOK {
			id, err := r.submit(n, job{Spec: "probe", Steps: []step{{Count: 1, CPU: 10, MemMb: 8, EstDurationMs: 100}}})
			if err != nil {
				return err
			}
			return r.awaitState(n, id, "completed", 20*time.Second)
		}
	}
	return fmt.Errorf("rig2: %s isn't ready", n.name)
}

// awaitState waits until a job is shown in a state.
func (r *rig) awaitState(n *node, id, state string, limit time.Duration) error {
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, body := r.call(n, http.MethodGet, prefix+id, nil)
		if a := fmt.Sprint(status, " ", body); a != last {
			r.note("client: GET %s at %s -> %s", id, n.name, a)
			last = a
		}
		if strings.Contains(body, `"`+state+`"`) {
			return nil
		}
	}
	return fmt.Errorf("rig2: job %s isn't shown as %s, last %s", id, state, last)
}

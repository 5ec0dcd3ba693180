package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// The ports of all machines.
const (
	frontPort, readyPort, controlPort, workerPort, storePort = 8161, 8167, 8166, 8165, 8169
)

// errCannotRun is returned if a case can't be played.
var errCannotRun = errors.New("the case can't run")

// zones are the data centres of the deployment.
var zones = []string{"mui-ne", "nha-trang", "vung-tau"}

// configuration is the operator's configuration.
const configuration = `{"version":7,"routes":[
 {"name":"quick","host":"h.example","prefix":"/quick/","service":"s","priority":0,"maxAttempts":3,"stretch":50,"targetDurationMs":120000,"timeoutMs":3000},
 {"name":"wide","host":"h.example","prefix":"/wide/","service":"s","priority":2,"maxAttempts":3,"stretch":50,"targetDurationMs":120000,"timeoutMs":3000}],
 "services":[{"name":"s","enforcesCapacity":true}],"limits":{"maxBodyBytes":262144}}`

// A machine is a process of the system.
type machine struct {
	name, ip, zone, role string
	run                  []string
	cmd                  *exec.Cmd
	settings             string
	log                  *os.File
}

// A deployment is a small site: entries, agents with a worker each, and the store.
type deployment struct {
	root, dir, prefix string
	record            *record
	store             *store
	entries, agents   []*machine
	workers           []*worker
	client            *http.Client

	mu sync.Mutex
	// jobs are the jobs that were sent, by ID.
	jobs map[string]*job
	// starts and ends are what the workers have seen.
	starts []event
	ends   []event
}

// An event is a start or an end of a run.
type event struct {
	at     time.Time
	worker string
	task   string
	number int
	how    string
}

// A job is a job as a client sends it.
type job struct {
	ID    string
	Queue string
	Body  map[string]any
	Tasks []task
	// tasksPerStep is the number of tasks of each step.
	tasksPerStep int
}

// newDeployment starts a deployment.
func newDeployment(root, dir string, rec *record, entries, agents int) (*deployment, error) {
	d := &deployment{
		root: root, dir: dir, record: rec, jobs: map[string]*job{},
		prefix: fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250)),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var deploy struct {
		Roles map[string]struct {
			Run string `toml:"run"`
			On  string `toml:"on"`
		} `toml:"roles"`
	}
	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(b, &deploy); err != nil {
		return nil, err
	}
	run := map[string][]string{}
	for _, r := range deploy.Roles {
		run[r.On] = strings.Fields(r.Run)
	}
	d.store = &store{record: rec}
	d.store.inner.Memory.Put("op/config", []byte(configuration))
	l, err := net.Listen("tcp", d.storeAddress())
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	for i := range entries + agents {
		m := &machine{ip: fmt.Sprint(d.prefix, i+1), zone: zones[i%len(zones)], role: "edge"}
		m.name = fmt.Sprintf("edge-%s-%d", m.zone, i+1)
		if i >= entries {
			m.role, m.name = "side", fmt.Sprintf("side-%s-%d", m.zone, i+1)
			d.agents = append(d.agents, m)
		} else {
			d.entries = append(d.entries, m)
		}
		m.run = run[m.role]
		if len(m.run) == 0 {
			return nil, errCannotRun
		}
	}
	for _, m := range d.machines() {
		if err := d.startMachine(m); err != nil {
			return nil, err
		}
	}
	for i, m := range d.agents {
		w := &worker{
			id: fmt.Sprintf("i-%08x", i+1), zone: m.zone, address: fmt.Sprintf("%s:%d", m.ip, workerPort), control: fmt.Sprintf("%s:%d", m.ip, controlPort),
			cpu: 16000, mem: 62500, record: rec, lookUp: d.lookUp, onStart: d.started, onEnd: d.ended,
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	return d, nil
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s250:%d", d.prefix, storePort) }

// writeSettings writes the settings of a machine.
func (d *deployment) writeSettings(m *machine) error {
	var b strings.Builder
	cores, memory := 0.4, edgeMemoryMB
	if m.role == "side" {
		cores, memory = 0.24, sideMemoryMB
	}
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"nam-bo\"\ninternalPorts = [7720,7735]\n", m.name, m.role, m.role, m.ip, m.zone)
	fmt.Fprintf(&b, "heartbeatMs = 1500\norders = \"rpc\"\nbootstrap = true\n")
	if m.role == "side" {
		fmt.Fprintf(&b, "serves = [\"side\"]\napp = \"%s:%d\"\nservice = \"s\"\n[listenAddrs]\ncontrol = \"%s:%d\"\n", m.ip, workerPort, m.ip, controlPort)
	} else {
		fmt.Fprintf(&b, "serves = [\"edge\"]\n[listenAddrs]\nfront = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, frontPort, m.ip, readyPort)
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = %g\ncores = 1\nmemoryMb = %d\nmaxFds = 4096\nlinkMbps = 1000.0\n", cores, memory)
	fmt.Fprintf(&b, "[bounds]\ncontactMs = 4000\ndrainMs = 3000\ngraceS = 6\nconfigApplyMs = 3000\nholdMaxMs = 6000\nstopMs = 400\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nleaseMs = 3000\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = %d\nttlMinMs = 1000\n", d.storeAddress(), valueBytes)
	m.settings = filepath.Join(d.dir, m.name+".toml")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// startMachine starts the process of a machine.
func (d *deployment) startMachine(m *machine) error {
	if err := d.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	c := exec.Command(filepath.Join(d.root, m.run[0]), m.run[1:]...)
	c.Dir, c.Stdout, c.Stderr = d.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMESTREAM_SETTINGS=" + m.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	m.cmd = c
	return nil
}

// kill ends the process of a machine.
func (m *machine) kill() {
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	_ = m.log.Close()
}

// machines returns all machines.
func (d *deployment) machines() []*machine { return slices.Concat(d.entries, d.agents) }

// close ends all processes.
func (d *deployment) close() {
	for _, m := range d.machines() {
		if m.cmd != nil {
			m.kill()
		}
	}
}

// lookUp returns what is known of a task.
func (d *deployment) lookUp(name string) task {
	id, step := parts(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[id]; j != nil && step < len(j.Tasks) {
		return j.Tasks[step]
	}
	return task{duration: 100 * time.Millisecond}
}

func (d *deployment) started(w *worker, name string, number int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts = append(d.starts, event{time.Now(), w.id, name, number, ""})
	d.record.add("worker %s: starts %s run %d", w.id, name, number)
}

func (d *deployment) ended(w *worker, name string, number int, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, event{time.Now(), w.id, name, number, how})
	d.record.add("worker %s: run %d of %s ends %s", w.id, number, name, how)
}

// newJob returns a job with steps of count tasks each, one after the other.
func (d *deployment) newJob(queue string, steps, count int, t task) *job {
	j := &job{ID: fmt.Sprintf("%016x", rand.Uint64()), Queue: queue, tasksPerStep: count}
	var list []map[string]any
	for i := range steps {
		s := map[string]any{"count": count, "cpu": t.cpu, "memMb": t.mem, "estDurationMs": t.duration.Milliseconds()}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		if t.saves {
			s["checkpoint"] = true
		}
		list = append(list, s)
		j.Tasks = append(j.Tasks, t)
	}
	j.Body = map[string]any{"spec": "case", "steps": list}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[j.ID] = j
	return j
}

// call makes one call of a client to an entry. The status is 0 if there is no answer.
func (d *deployment) call(entry int, method, queue, id string, body any, wait time.Duration) (int, map[string]any) {
	var in io.Reader = http.NoBody
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		in = strings.NewReader(string(b))
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	m := d.entries[entry%len(d.entries)]
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/%s/%s", m.ip, frontPort, queue, id), in)
	if err != nil {
		return 0, nil
	}
	r.Host = "h.example"
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	a, err := d.client.Do(r)
	if err != nil {
		d.record.add("client: %s /%s/%s at %s: no answer after %d ms", method, queue, id, m.name, time.Since(sent).Milliseconds())
		return 0, nil
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		d.record.add("client: %s /%s/%s at %s: answer cut", method, queue, id, m.name)
		return 0, nil
	}
	out := map[string]any{}
	_ = json.Unmarshal(b, &out)
	d.record.add("client: %s /%s/%s at %s: %d %s after %d ms", method, queue, id, m.name, a.StatusCode, strings.TrimSpace(string(b)), time.Since(sent).Milliseconds())
	return a.StatusCode, out
}

// submit sends a job.
func (d *deployment) submit(entry int, j *job) int {
	status, _ := d.call(entry, http.MethodPost, j.Queue, j.ID, j.Body, 3*time.Second)
	return status
}

// state asks for the state of a job.
func (d *deployment) state(entry int, j *job) string {
	status, out := d.call(entry, http.MethodGet, j.Queue, j.ID, nil, 3*time.Second)
	if s, ok := out["state"].(string); ok && status == http.StatusOK {
		return s
	}
	return fmt.Sprint(status)
}

// ready waits until each entry is ready and a job has been done, and reports whether that is so.
func (d *deployment) ready() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if d.allReady() {
			break
		}
	}
	j := d.newJob("quick", 1, 4, task{duration: 200 * time.Millisecond, cpu: 240, mem: 100})
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if s := d.submit(0, j); s == http.StatusOK {
			break
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if d.state(0, j) == "completed" {
			return true
		}
	}
	return false
}

// allReady reports whether each entry says that it's ready.
func (d *deployment) allReady() bool {
	for _, m := range d.entries {
		a, err := d.client.Get(fmt.Sprintf("http://%s:%d/api/readyz", m.ip, readyPort))
		if err != nil {
			return false
		}
		_ = a.Body.Close()
		if a.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// startsOf returns the starts of a job's tasks.
func (d *deployment) startsOf(id string) []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []event
	for _, e := range d.starts {
		if j, _ := parts(e.task); j == id {
			out = append(out, e)
		}
	}
	return out
}

// count returns how many tasks a step of the job has.
func (j *job) count() int { return j.tasksPerStep }

// done reports whether all tasks of a job without occurrences have ended done.
func (d *deployment) done(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	done := map[string]bool{}
	for _, e := range d.ends {
		if id, _ := parts(e.task); id == j.ID && e.how == "done" {
			done[e.task] = true
		}
	}
	return len(done) == len(j.Tasks)*j.tasksPerStep
}

// firstStep returns the body of the first step.
func (j *job) firstStep() map[string]any {
	steps, _ := j.Body["steps"].([]map[string]any)
	return steps[0]
}

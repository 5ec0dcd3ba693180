package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// serviceName and the names of the queue, as the operator's configuration has them.
const (
	serviceName = "windcast"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
)

// errNotReady is returned for a deployment that does not come up, so that a case could not run.
var errNotReady = errors.New("the deployment did not come up")

// step is a step of a job as a client sends it.
type step struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu,omitempty"`
	MemMb         int   `json:"memMb,omitempty"`
	EstDurationMs int   `json:"estDurationMs,omitempty"`
	After         []int `json:"after,omitempty"`
}

// job is a job as a client sends it.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	// duration is how long a task runs.
	duration func(runTask) time.Duration
	// acceptedAt is when the job was accepted; zero if it wasn't.
	acceptedAt time.Time
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// rig is a small deployment: processes of the system, the platform's store and workers.
type rig struct {
	dir    string
	rec    *recorder
	store  *store
	checks *checks
	// advice is the policy service; nil where the queue has none.
	advice *advice
	net    string

	entries []*process
	agents  []*process
	workers []*worker

	mu   sync.Mutex
	jobs map[string]*job
}

// newRig returns a deployment that has not started.
func newRig(record string) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig4-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, rec: &recorder{file: f, began: time.Now()}, jobs: map[string]*job{}}
	r.store = newStore()
	r.checks = &checks{rec: r.rec, runs: map[string][]*seenRun{}, failed: map[string]int{}}
	for range 100 {
		// Addresses on which no other run of a script listens.
		r.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", r.net+".1:8169")
		if err == nil {
			_ = l.Close()
			return r, nil
		}
	}
	return nil, errNotReady
}

// open starts the store and the processes, and waits until the entries are ready.
func (r *rig) open(entries, agents int) error {
	for i := range entries + agents {
		p := &process{rig: r, ip: fmt.Sprintf("%s.%d", r.net, 10+i), zone: "seq-bris"}
		if p.name = fmt.Sprintf("edge-%d", i+1); i >= entries {
			p.name, p.host = fmt.Sprintf("side-%d", i-entries+1), true
			r.agents = append(r.agents, p)
		} else {
			r.entries = append(r.entries, p)
		}
		if err := r.store.listen(p.addr(portStore)); err != nil {
			return err
		}
		if r.advice != nil {
			if err := r.advice.listen(p.name, p.addr(portAdvice)); err != nil {
				return err
			}
		}
	}
	route := map[string]any{
		"name": "r-3hwrr6x", "host": hostName, "prefix": prefix, "type": "non_idempotent", "timeoutMs": 3000,
		"targetDurationMs": 600, "priority": 0, "service": serviceName, "maxAttempts": 3, "stretch": 1.5,
	}
	if a := r.advice; a != nil {
		route["advice"] = map[string]any{
			"decisionMs": a.decision.Milliseconds(), "perWorkerMs": a.perWorker.Milliseconds(), "validMs": a.valid.Milliseconds(),
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes":  []map[string]any{route},
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "enforcesCapacity": true, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	r.store.put("op/config", config)
	for _, p := range r.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) processes() []*process { return append(append([]*process{}, r.entries...), r.agents...) }

// awaitReady waits until the entries are ready and a job has been done.
func (r *rig) awaitReady() error {
	if !waitFor(20*time.Second, func() bool {
		for _, p := range r.entries {
			a, err := http.Get("http://" + p.addr(portReady) + "/api/readyz")
			if err != nil {
				return false
			}
			_ = a.Body.Close()
			if a.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	}) {
		return errNotReady
	}
	j := r.newJob([]step{{Count: 1, CPU: 100, MemMb: 64, EstDurationMs: 100}}, 100*time.Millisecond)
	if !r.submit(r.entries[0], j) || !waitFor(20*time.Second, func() bool { return r.state(r.entries[0], j.ID) == "completed" }) {
		return errNotReady
	}
	return nil
}

// close ends all processes.
func (r *rig) close() {
	for _, p := range r.processes() {
		p.end()
	}
	_ = r.rec.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}

// newWorker starts a worker beside an agent.
func (r *rig) newWorker(p *process, id string, cpu, memMb int) (*worker, error) {
	w := &worker{rig: r, id: id, machine: "m-" + p.name, zone: p.zone, addr: p.addr(portWorker), cpu: cpu, memMb: memMb}
	r.workers = append(r.workers, w)
	return w, w.start()
}

// usedShare returns the share of the processors of all workers that is in use.
func (r *rig) usedShare() float64 {
	used, all := 0, 0
	for _, w := range r.workers {
		w.mu.Lock()
		used, all = used+w.usedCPU, all+w.cpu
		w.mu.Unlock()
	}
	return float64(used) / float64(max(all, 1))
}

// newJob returns a job of steps whose tasks take the given time.
func (r *rig) newJob(steps []step, d time.Duration) *job {
	return r.addJob(&job{Steps: steps, duration: func(runTask) time.Duration { return d }})
}

// addJob gives a job its ID and makes it known to the workers.
func (r *rig) addJob(j *job) *job {
	j.ID, j.Spec = fmt.Sprintf("%016x", rand.Uint64()), "reports of one beach"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j.ID] = j
	return j
}

// findTask returns a submitted task.
func (r *rig) findTask(name string) (runTask, bool) {
	id, n, ok := parseTask(name)
	if !ok {
		return runTask{}, false
	}
	r.mu.Lock()
	j := r.jobs[id]
	r.mu.Unlock()
	if j == nil || n[0] > 0 || n[1] >= len(j.Steps) || n[2] >= j.Steps[n[1]].Count {
		return runTask{}, false
	}
	return runTask{job: j, step: j.Steps[n[1]], name: name, stepIndex: n[1]}, true
}

// call sends a client's request and returns the status, 0 without an answer, and the state of the job.
func (r *rig) call(p *process, method, id, body string) (int, string) {
	q, err := http.NewRequest(method, "http://"+p.addr(portFront)+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	q.Host = hostName
	q.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := (&http.Client{Timeout: 3 * time.Second}).Do(q)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	var out struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(a.Body).Decode(&out)
	return a.StatusCode, out.State
}

// submit hands a job in, with the retries of a client, and reports whether it was accepted.
func (r *rig) submit(p *process, j *job) bool {
	b, err := json.Marshal(j)
	if err != nil {
		return false
	}
	for range 5 {
		status, _ := r.call(p, http.MethodPost, j.ID, string(b))
		r.rec.add("client", "POST %s at %s: %d", j.ID, p.name, status)
		if status >= 200 && status < 300 {
			j.acceptedAt = time.Now()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (r *rig) state(p *process, id string) string {
	_, s := r.call(p, http.MethodGet, id, "")
	return s
}

// waitFor waits until a condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

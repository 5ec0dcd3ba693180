package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of a process.
const (
	portFront, portReady, portControl, portWorker = 8161, 8167, 8166, 8366
	portStore, portAdvice, portMetrics            = 8169, 8170, 9464
)

// The bounds of the deployment, as in the settings below.
const (
	holdMax           = 6 * time.Second
	stopTime          = 400 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
)

// process is a process of the system on a machine of its own.
type process struct {
	rig  *rig
	name string
	ip   string
	host bool
	zone string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// memoryMb is the memory of the machine of the process.
func (p *process) memoryMb() int {
	if p.host {
		return 152
	}
	return 284
}

func (p *process) addr(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// settings is the settings file of the process.
func (p *process) settings() string {
	role, class, listen, limits := "entry", "edge", fmt.Sprintf("front = %q\nready = %q\n", p.addr(portFront), p.addr(portReady)), "cpuShare = 0.4\n"
	app := ""
	if p.rig.advice != nil {
		app = fmt.Sprintf("advice = %q\n", p.addr(portAdvice))
	}
	if p.host {
		role, class, listen, limits = "agent", "side", fmt.Sprintf("control = %q\n", p.addr(portControl)), "cpuShare = 0.24\n"
		app += fmt.Sprintf("app = %q\n", p.addr(portWorker))
	}
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "seq"
internalPorts = [7720,7735]
bootstrap = true
heartbeatMs = 1500
orders = "rpc"
%s[listenAddrs]
%s[limits]
%smemoryMb = %d
cores = 1
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 3000
graceS = 6
holdMaxMs = 6000
stopMs = 400
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpointIntervalS = 0.5
restoreMs = 250
noticeMs = 5500
requireFencing = true
leaseMs = 3000
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, p.name, role, class, class, p.ip, p.zone, app, listen, limits, p.memoryMb(), p.addr(portStore))
}

// start starts the process by the command of the deploy file, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	path := filepath.Join(p.rig.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := "entry"
	if p.host {
		role = "agent"
	}
	c := exec.Command("target/sesamestream-platform", role, "--metrics", fmt.Sprint(portMetrics))
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMESTREAM_SETTINGS=" + path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.cmd = c
	p.rig.rec.add(p.name, "started")
	go func() {
		err := c.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		p.rig.rec.add(p.name, "ended: %v", err)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.rig.rec.add(p.name, "gets %v", s)
		_ = p.cmd.Process.Signal(s)
	}
}

// runs reports whether the process runs.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	for range 200 {
		if !p.runs() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The memory of the machines, in MB, as in their settings.
const (
	edgeMemoryMB = 284
	sideMemoryMB = 152
)

// endsOfAMachine is how often the processes of a machine end by themselves for it to count.
const endsOfAMachine = 3

// residentMB returns the memory of a machine's process, in MB.
func (m *machine) residentMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb * 1024 / 1000000
		}
	}
	return 0
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does, and
// starts it again, until done is closed. It counts the ends of each machine.
func (d *deployment) watchMemory(m *machine, done <-chan struct{}, ended func(*machine)) {
	limit := edgeMemoryMB
	if m.role == "side" {
		limit = sideMemoryMB
	}
	highest := 0
	for {
		select {
		case <-done:
			d.record.add("platform: %s held up to %d MB of %d", m.name, highest, limit)
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := m.residentMB()
		highest = max(highest, mb)
		if mb <= limit {
			continue
		}
		d.record.print("platform: %s holds %d MB of %d and is killed", m.name, mb, limit)
		m.kill()
		ended(m)
		time.Sleep(500 * time.Millisecond)
		if err := d.startMachine(m); err != nil {
			d.record.print("%v", err)
			return
		}
	}
}

// playMemory submits recurring jobs, and small ones after them, while the platform enforces the
// memory of the machines.
func playMemory(d *deployment, trouble bool) (bool, error) {
	const recurring = 14
	times := 4
	if trouble {
		times = 365 * 24
	}
	done := make(chan struct{})
	var mu sync.Mutex
	ends := map[string]int{}
	var watches sync.WaitGroup
	for _, m := range d.machines() {
		watches.Go(func() {
			d.watchMemory(m, done, func(m *machine) {
				mu.Lock()
				defer mu.Unlock()
				ends[m.name]++
			})
		})
	}
	for i := range recurring {
		j := d.newJob("wide", 1, 5, task{duration: time.Second, cpu: 240, mem: 100})
		j.Body["startAtMs"] = time.Now().Add(time.Minute).UnixMilli()
		j.Body["intervalMs"] = time.Hour.Milliseconds()
		j.Body["repeatCount"] = times
		for try := range 10 {
			s := d.submit(i+try, j)
			if s == http.StatusOK {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	var small []*job
	for i := range 10 {
		j := d.newJob("quick", 1, 2, task{duration: 300 * time.Millisecond, cpu: 240, mem: 100})
		if s := d.submit(i, j); s == http.StatusOK {
			small = append(small, j)
		}
		time.Sleep(time.Second)
	}
	d.record.print("small jobs accepted: %d", len(small))
	time.Sleep(finish)
	held := d.nothingIdle(small)
	time.Sleep(10 * time.Second)
	close(done)
	watches.Wait()
	machines := 0
	for name, n := range ends {
		d.record.print("%s ended %d times for its memory", name, n)
		if n >= endsOfAMachine {
			machines++
		}
	}
	if machines >= 2 {
		d.record.print("broken: the processes of %d machines ended %d times or more by themselves", machines, endsOfAMachine)
		held = false
	}
	return held, nil
}

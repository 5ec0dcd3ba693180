package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// lateness is how long after its arrival a change without an answer is carried out.
	lateness = 6 * time.Second
	// cancelBound is the bound cancel_ms.
	cancelBound = 3 * time.Second
	// contact is the bound contactMs.
	contact = 4 * time.Second
)

// playCancelled submits jobs while the store goes down, and cancels those whose submission got no
// answer, or one that leaves the outcome open, once the store is back.
func playCancelled(d *deployment, trouble bool) (bool, error) {
	const jobs = 16
	var late sync.Map
	list := make([]*job, jobs)
	statuses := make([]int, jobs)
	for i := range list {
		list[i] = d.newJob("quick", 5, 2, task{duration: 3 * time.Second, cpu: 240, mem: 100})
	}
	var posts sync.WaitGroup
	var down time.Time
	for i, j := range list {
		if trouble && i == jobs/2 {
			d.record.print("store: down, without answers")
			down = time.Now()
			d.store.setSilent(true, lateness, func(c change) bool {
				id := jobOf(c)
				if id == "" || time.Since(down) > outage {
					return false
				}
				// One change of each job is carried out late, the others never.
				_, again := late.LoadOrStore(id, true)
				return !again
			})
		}
		posts.Go(func() { statuses[i] = d.submit(i, j) })
		time.Sleep(15 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(down.Add(outage)))
		d.store.setSilent(false, 0, nil)
		d.record.print("store: answers again")
	}
	posts.Wait()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !d.allReady(); {
		time.Sleep(50 * time.Millisecond)
	}
	var mu sync.Mutex
	cancelled := map[string]time.Time{}
	var cancels sync.WaitGroup
	for i, j := range list {
		// In the run without trouble all jobs are accepted, and all are cancelled.
		if trouble && statuses[i] == http.StatusOK {
			continue
		}
		cancels.Go(func() {
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if s, _ := d.call(i+1, http.MethodDelete, j.Queue, j.ID, nil, 3*time.Second); s == http.StatusOK || s == http.StatusGone {
					mu.Lock()
					cancelled[j.ID] = time.Now()
					mu.Unlock()
					return
				}
			}
		})
	}
	cancels.Wait()
	time.Sleep(25 * time.Second)
	held := true
	for _, j := range list {
		at, ok := cancelled[j.ID]
		if !ok {
			continue
		}
		bound := at.Add(cancelBound)
		if trouble {
			// The store counts as disrupted until the last late change has been carried out.
			if calm := down.Add(lateness + time.Second + contact); calm.After(bound) {
				bound = calm
			}
		}
		for _, e := range d.startsOf(j.ID) {
			if e.at.After(bound) {
				d.record.print("broken: %s starts on %s %.1f s after its cancelling was acknowledged", e.task, e.worker, e.at.Sub(at).Seconds())
				held = false
			}
		}
	}
	return held, nil
}

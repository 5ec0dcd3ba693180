package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the list of what was sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates the record in a file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that can't be written is missing from the record, which only its readers notice.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// print adds a line and prints it.
func (r *record) print(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

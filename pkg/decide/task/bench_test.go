package task

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// shardRecords returns the records of n tasks in jobs of 10 tasks that are
// submitted, assigned and, if done, completed.
func shardRecords(n int, done bool) []Record {
	var rs []Record
	at := time.Duration(time.Unix(1e9, 0).UnixNano())
	for i := range n {
		id := ID{Job: JobID(fmt.Sprintf("dossier-2026-%06d", i/10)), Index: uint32(i % 10)}
		if id.Index == 0 {
			s := &Spec{Kind: "dossier", Team: "team-7", Class: "batch", Tasks: 10, Payload: make([]byte, 200)}
			s.Need = fleet.Resources{Processors: 1500, Memory: 4 << 30, Slots: 1}
			rs = append(rs, Record{Version: Version, Op: OpSubmit, At: at, Task: ID{Job: id.Job}, Spec: s})
		}
		rs = append(rs, Record{Version: Version, Op: OpAssign, At: at, Task: id, Attempt: 1, Host: "yug-plovdiv-0123", Worker: 1})
		if done {
			rs = append(rs, Record{Version: Version, Op: OpDone, At: at, Task: id, Attempt: 1})
		}
	}
	return rs
}

func BenchmarkRecordsOfThousandStarts(b *testing.B) {
	rs := shardRecords(1000, true)
	total := 0
	for b.Loop() {
		total = 0
		for _, r := range rs {
			c, _ := r.Encode()
			total += len(c)
		}
	}
	b.ReportMetric(float64(total), "bytes/1000starts")
	b.ReportMetric(float64(len(rs)), "records/1000starts")
}

func BenchmarkReplayOfShard(b *testing.B) {
	var journal [][]byte
	for _, r := range shardRecords(25000/16, false) {
		c, _ := r.Encode()
		journal = append(journal, c)
	}
	s := NewState()
	for b.Loop() {
		s = NewState()
		for _, c := range journal {
			r, err := Decode(c)
			if err != nil || s.Apply(r) != nil {
				b.Fatal("replay")
			}
		}
	}
	c, _ := s.Snapshot()
	b.ReportMetric(float64(len(c)), "snapshotBytes")
}

func BenchmarkRestoreOfShard(b *testing.B) {
	s := NewState()
	for _, r := range shardRecords(25000/16, false) {
		_ = s.Apply(r)
	}
	c, _ := s.Snapshot()
	for b.Loop() {
		if _, err := Restore(c); err != nil {
			b.Fatal(err)
		}
	}
}

package history

import (
	"fmt"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// JobID returns the id of a deployment's nth job.
func JobID(n int) batch.JobID { return batch.JobID(fmt.Sprintf("%016x", n+1)) }

// Queue returns the queue of the nth job. Jobs alternate between the two queues.
func Queue(n int) string { return []string{"urgent", "wide"}[n%2] }

// Job returns the nth job. It has one to three sequential steps of one to four
// tasks each. The function intn draws a random number below its argument.
func Job(n int, intn func(int) int) *batch.Job {
	j := &batch.Job{
		ID: JobID(n), Queue: Queue(n), Spec: "x",
		QueueConfig: batch.Queue{Name: Queue(n), Service: "s", Priority: n % 2, MaxAttempts: 3, Stretch: 2, Objective: time.Second},
	}
	for i := range 1 + intn(3) {
		s := batch.Step{
			Count: 1 + intn(4), Need: batch.Resources{MilliCPU: 200 + intn(800), MemoryMB: 100}, Estimate: 400 * time.Millisecond,
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

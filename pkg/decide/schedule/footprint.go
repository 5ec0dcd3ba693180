package schedule

import (
	"reflect"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// The sizes of the parts of a job in memory, in bytes.
var (
	jobBytes        = sizeOf[job]() + sizeOf[batch.Job]() + 4*indexBytes
	endedBytes      = jobBytes
	occurrenceBytes = sizeOf[occurrence]() + pointerBytes
	// stepBytes includes the blank record.
	stepBytes = sizeOf[step]() + sizeOf[task]() + pointerBytes
	// recordBytes includes the entry in the worker's index.
	recordBytes      = sizeOf[task]() + indexBytes
	descriptionBytes = sizeOf[batch.Step]() + storedStepBytes + sizeOf[int64]()
)

const (
	// pointerBytes is a place in a list, with what the allocator adds.
	pointerBytes = 9
	// indexBytes is an entry of a map by ID, at half load.
	indexBytes = 128
	// storedStepBytes is a step as it's stored, which a scheduler that takes over reads beside its decoded form.
	storedStepBytes = 256
)

// sizeOf returns the size of a T with what the allocator adds to it at most, an eighth.
func sizeOf[T any]() int64 { return int64(reflect.TypeFor[T]().Size()) * 9 / 8 }

// Footprint returns how many bytes a scheduler may need for a job while it waits, with the occurrences that may be due
// at a time. Tasks that run are bounded by the workers and not counted.
func Footprint(b *batch.Job) int64 {
	tasks, perOccurrence, n := 0, occurrenceBytes, jobBytes+2*int64(len(b.Spec))
	for i := range b.Steps {
		st := &b.Steps[i]
		tasks += st.Count
		n += descriptionBytes
		perOccurrence += pointerBytes + int64(st.Count)*pointerBytes
		if len(st.DependsOn) == 0 {
			perOccurrence += stepBytes
		}
		if st.Gang || st.LongRunning {
			perOccurrence += int64(st.Count) * recordBytes
		}
	}
	open := max(min(b.Occurrences(), maxWaitingOccurrences, batch.MaxTasks/max(tasks, 1)), 1)
	return n + int64(open)*perOccurrence
}

// footprint returns how many bytes the scheduler holds or may need for the job.
func (j *job) footprint() int64 {
	if j.descriptionDropped {
		return endedBytes
	}
	held := jobBytes + 2*int64(len(j.Spec)) + int64(len(j.Steps))*descriptionBytes +
		int64(len(j.occurrences))*(occurrenceBytes+pointerBytes*int64(len(j.Steps))) +
		int64(j.openSteps)*stepBytes + int64(j.slots)*pointerBytes + int64(j.records)*recordBytes
	if j.state.Final() {
		return held
	}
	return max(held, j.reservedBytes)
}

// Footprint returns how many bytes the scheduler holds or may need for all its jobs, and how many it was ever given.
func (s *Scheduler) Footprint() (held, added int64) {
	for _, j := range s.jobs {
		held += j.footprint()
	}
	return held + int64(len(s.earlyCancellations))*indexBytes, s.addedBytes
}

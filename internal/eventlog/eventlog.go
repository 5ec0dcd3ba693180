// Package eventlog writes one structured log line for each decision. Lines go
// through a bounded queue. If the output is slow, lines are dropped and counted,
// so that no decision waits for the log.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/internal/telemetry"
)

// The names of events, written in the field "event". Common fields: job, task
// and run identify the work; worker and born are the ID and start time of a
// worker; peer is another node; epoch is the scheduler's term; fence is the
// fencing token of a session; why is the reason; took, age, slack and other
// durations are in milliseconds.
const (
	ProcessStarted       = "processStarted"
	ProcessStopping      = "processStopping"
	ProcessStopped       = "processStopped"
	SettingsReloaded     = "settingsReloaded"
	StoreLost            = "storeLost"
	StoreRecovered       = "storeRegained"
	SchedulerFound       = "schedulerFound"
	SchedulerLost        = "schedulerLost"
	LeadershipAcquired   = "leadTaken"
	LeadershipLost       = "leadLost"
	LeadershipOffered    = "leadOffered"
	HostUnregistered     = "hostUnregistered"
	StateLoaded          = "stateLoaded"
	HostWaitShortened    = "hostWaitShortened"
	TakeoverCompleted    = "settled"
	ConfigApplied        = "configInForce"
	EvacuationRequested  = "evacuationRequested"
	EvacuationEnded      = "evacuationEnded"
	ConfigRejected       = "configRejected"
	HostJoined           = "hostJoined"
	HostLost             = "hostLost"
	HostRemoved          = "hostForgotten"
	WorkerJoined         = "workerJoined"
	WorkerRemoved        = "workerGone"
	WorkerChanged        = "workerChanged"
	WorkerUnreachable    = "workerUnreachable"
	WorkerQuarantined    = "workerSetAside"
	WorkerReleased       = "workerTrusted"
	ReportRejected       = "reportRejected"
	JobAccepted          = "jobAccepted"
	WriteRelayed         = "recordHandedOver"
	JobRefused           = "jobRefused"
	JobOutcomeUnknown    = "jobOutcomeUnknown"
	JobQueued            = "jobQueued"
	JobEnded             = "jobEnded"
	EstimateCompared     = "estimateCompared"
	CancelAccepted       = "cancelAccepted"
	CancelOutcomeUnknown = "cancelOutcomeUnknown"
	CancelRefused        = "cancelRefused"
	JobStateUnknown      = "stateUnknown"
	TaskWaiting          = "taskWaiting"
	RunOrdered           = "runOrdered"
	RunStarted           = "runStarted"
	RunRefused           = "runRefused"
	RunStopping          = "runStopping"
	RunYields            = "runYields"
	RunEnded             = "runEnded"
	RunPaced             = "runPaced"
	ProgressStored       = "progressStored"
	ProgressNotStored    = "progressNotStored"
	ClientLimited        = "clientLimited"
	LinesDropped         = "linesDropped"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow output; at 300 bytes per line they take about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the lines that a process writes in each second; further lines are dropped.
	maxLinesPerSecond = 2000
)

// A Log writes events.
type Log struct {
	*log.Logger
	// Metrics are the metrics of the process; they count each event, also if its line is dropped.
	Metrics *telemetry.Registry

	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64

	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

// New returns a log for a node that writes to w.
func New(w io.Writer, node string) *Log {
	l := &Log{Metrics: &telemetry.Registry{}, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	l.Logger = &log.Logger{
		Level: log.InfoLevel, TimeField: "time", TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
		Context: log.NewContext(nil).Str("node", node).Value(),
		Writer:  log.IOWriter{Writer: (*queueWriter)(l)},
	}
	l.Metrics.RegisterGauge(telemetry.LinesDropped, func() float64 { return float64(l.Dropped()) })
	go l.write(w)
	return l
}

// Event starts the line of an event; the entry's Msg or Send writes it.
func (l *Log) Event(name string) *log.Entry {
	l.Metrics.Increment(telemetry.Events, "event", name)
	return l.Info().Str("event", name)
}

// Warning starts the line, at warning level, of an event that needs an operator's attention.
func (l *Log) Warning(name string) *log.Entry {
	l.Metrics.Increment(telemetry.Events, "event", name)
	return l.Warn().Str("event", name)
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and returns at the latest after limit.
func (l *Log) Close(limit time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

// queueWriter is a Log as the output of its logger: it queues or drops each line.
type queueWriter Log

func (q *queueWriter) Write(b []byte) (int, error) {
	now := time.Now().Unix()
	if q.currentSecond.Swap(now) != now {
		q.linesThisSecond.Store(0)
	}
	if q.linesThisSecond.Add(1) > maxLinesPerSecond {
		q.dropped.Add(1)
		return len(b), nil
	}
	// The logger reuses b after Write returns.
	c := append(make([]byte, 0, len(b)), b...)
	select {
	case q.lines <- c:
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// write writes queued lines to w, several at once, until Close is called and the queue is empty.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	var reportedDrops uint64
	buffer := make([]byte, 0, batchBytes*2)
	for {
		buffer = buffer[:0]
		select {
		case b := <-l.lines:
			buffer = append(buffer, b...)
		case <-l.stop:
			if len(l.lines) == 0 {
				return
			}
		}
		for len(buffer) < batchBytes && len(l.lines) > 0 {
			buffer = append(buffer, <-l.lines...)
		}
		// Write errors are ignored: the process continues when the reader of its log is gone.
		_, _ = w.Write(buffer)
		if d := l.dropped.Load(); d != reportedDrops {
			reportedDrops = d
			l.Warning(LinesDropped).Uint64("total", d).Msg("")
		}
	}
}

// batchBytes is the approximate maximum size of one write; the buffer of a pipe is four times as large.
const batchBytes = 16 << 10

// Package eventlog writes one structured line for each decision. Lines go
// through a bounded queue: when the reader is slow they are dropped and
// counted, and no decision waits for them.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/internal/telemetry"
)

// The events, by their name in the field "event". Fields that several of them
// have: job, task and run name the work; worker and born a life of a worker;
// peer another node; epoch the scheduler's term; fence that of a session; why
// the reason; took, age, slack and other times are in milliseconds.
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
	TakeoverCompleted    = "settled"
	ConfigApplied        = "configInForce"
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
	CancelAccepted       = "cancelAccepted"
	CancelOutcomeUnknown = "cancelOutcomeUnknown"
	JobStateUnknown      = "stateUnknown"
	RunOrdered           = "runOrdered"
	RunStarted           = "runStarted"
	RunRefused           = "runRefused"
	RunStopping          = "runStopping"
	RunEnded             = "runEnded"
	RunPaced             = "runPaced"
	ProgressStored       = "progressStored"
	ProgressNotStored    = "progressNotStored"
	LinesDropped         = "linesDropped"
)

const (
	// queueLines is how many lines wait for a slow reader; at 300 bytes a line that is about 1 MB.
	queueLines = 4096
	// budget is how many lines a process writes in a second before it drops the rest.
	budget = 2000
)

// A Log writes events.
type Log struct {
	*log.Logger
	// Metrics are the figures of the process; each event is counted there.
	Metrics *telemetry.Registry

	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64

	second atomic.Int64
	count  atomic.Int64
}

// New returns a log of the node that writes to w.
func New(w io.Writer, node string) *Log {
	l := &Log{Metrics: &telemetry.Registry{}, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	l.Logger = &log.Logger{
		Level: log.InfoLevel, TimeField: "time", TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
		Context: log.NewContext(nil).Str("node", node).Value(),
		Writer:  log.IOWriter{Writer: (*queue)(l)},
	}
	l.Metrics.RegisterGauge(telemetry.LinesDropped, func() float64 { return float64(l.Dropped()) })
	go l.write(w)
	return l
}

// Event opens the line of an event; Send writes it.
func (l *Log) Event(name string) *log.Entry {
	l.Metrics.Increment(telemetry.Events, "event", name)
	return l.Info().Str("event", name)
}

// Warning opens the line of an event that someone should look at.
func (l *Log) Warning(name string) *log.Entry {
	l.Metrics.Increment(telemetry.Events, "event", name)
	return l.Warn().Str("event", name)
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes what waits, at most for the given time.
func (l *Log) Close(limit time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

// queue is the Log as the writer of its logger.
type queue Log

func (q *queue) Write(b []byte) (int, error) {
	now := time.Now().Unix()
	if q.second.Swap(now) != now {
		q.count.Store(0)
	}
	if q.count.Add(1) > budget {
		q.dropped.Add(1)
		return len(b), nil
	}
	// The logger reuses b.
	c := append(make([]byte, 0, len(b)), b...)
	select {
	case q.lines <- c:
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// write joins the lines that wait into one write.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	var told uint64
	buffer := make([]byte, 0, writeSize*2)
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
		for len(buffer) < writeSize && len(l.lines) > 0 {
			buffer = append(buffer, <-l.lines...)
		}
		// A reader that is gone is no reason to stop.
		_, _ = w.Write(buffer)
		if d := l.dropped.Load(); d != told {
			told = d
			l.Warning(LinesDropped).Uint64("total", d).Msg("")
		}
	}
}

// writeSize is about how many bytes one write takes; a pipe holds four times that.
const writeSize = 16 << 10

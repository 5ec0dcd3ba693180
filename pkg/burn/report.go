package burn

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// State is the state of one alert.
type State string

// The states of alerts.
const (
	// StateFiring means that both windows burn at the alert's rate or faster.
	StateFiring State = "firing"
	// StateQuiet means that both windows have data and at least one burns slower.
	StateQuiet State = "quiet"
	// StateNoData means that at least one window has no counts.
	StateNoData State = "noData"
	// StateNoObjective means that the table sets no target or, for latency, no objective.
	StateNoObjective State = "noObjective"
)

// Report shows how fast each kind spends its error budget.
type Report struct {
	At time.Time `json:"at"`
	// Partial is set if some process did not answer or its address is not known to
	// the reporting process, so that all counts may be too low.
	Partial bool `json:"partial"`
	// ProcessesWithoutAddress is a lower bound of the number of processes that are
	// known to exist but not by address.
	ProcessesWithoutAddress int `json:"unseen"`
	// Age is how long the oldest recorder has counted. A longer window covers no more
	// than this.
	Age time.Duration `json:"age"`
	// Dropped counts the events of kinds beyond the recorders' limit.
	Dropped uint64 `json:"dropped,omitempty"`
	// Revision is the revision of the table whose objectives are used.
	Revision  table.Revision `json:"revision"`
	Alerts    []Alert        `json:"alerts"`
	Processes []Process      `json:"processes"`
	// Step is the time from one point of the series to the next.
	Step  time.Duration `json:"step"`
	Kinds []KindReport  `json:"kinds"`
}

// Process is the part of one process in a report.
type Process struct {
	ID         fleet.ID   `json:"id"`
	Role       fleet.Role `json:"role"`
	DataCentre string     `json:"dataCentre"`
	// Age is how long the process has counted.
	Age time.Duration `json:"age"`
	// Error is the reason why the process did not answer.
	Error string `json:"error,omitempty"`
}

// KindReport is the report on one kind.
type KindReport struct {
	Kind fleet.Kind `json:"kind"`
	// Objective is the latency objective of the kind, 0 for none.
	Objective time.Duration `json:"objective"`
	// Target is the share of requests that must meet the objective, 0 for none.
	Target  table.Share    `json:"target"`
	Floor   table.Share    `json:"floor"`
	Windows []WindowReport `json:"windows"`
	Signals []SignalReport `json:"signals"`
	// Series is ordered from the oldest point to the newest.
	Series []SeriesPoint `json:"series"`
}

// WindowReport holds the counts of one window.
type WindowReport struct {
	Window time.Duration `json:"window"`
	Counts
	// P50 and P99 are quantiles of the latency of answers, nil if there were none.
	P50 *time.Duration `json:"p50"`
	P99 *time.Duration `json:"p99"`
}

// SignalReport holds the alerts of one signal.
type SignalReport struct {
	Signal Signal        `json:"signal"`
	Alerts []AlertReport `json:"alerts"`
}

// AlertReport is the state of one alert with the readings that determine it.
type AlertReport struct {
	Name  string  `json:"name"`
	State State   `json:"state"`
	Long  Reading `json:"long"`
	Short Reading `json:"short"`
}

// Reading is the burn rate over one window.
type Reading struct {
	Window time.Duration `json:"window"`
	Bad    uint64        `json:"bad"`
	Total  uint64        `json:"total"`
	// Burn is the burn rate, nil without data or an objective.
	Burn *float64 `json:"burn"`
}

// SeriesPoint is one step of a series.
type SeriesPoint struct {
	// At is the end of the step.
	At time.Time `json:"at"`
	// Burns are the burn rates over the short window of the first alert, ending at At.
	Burns []SignalBurn `json:"burns"`
	// Counts, P50 and P99 cover the step alone.
	Counts
	P50 *time.Duration `json:"p50"`
	P99 *time.Duration `json:"p99"`
}

// SignalBurn is the burn rate of one signal, nil without data or an objective.
type SignalBurn struct {
	Signal Signal   `json:"signal"`
	Burn   *float64 `json:"burn"`
}

// Firing returns the name of the first alert of the signal that fires, and whether
// there is one.
func (s *SignalReport) Firing() (string, bool) {
	for _, a := range s.Alerts {
		if a.State == StateFiring {
			return a.Name, true
		}
	}
	return "", false
}

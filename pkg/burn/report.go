package burn

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A State is what is known of one alert.
type State string

// The states of alerts.
const (
	// StateFiring means both windows burn at the alert's rate or faster.
	StateFiring State = "firing"
	// StateQuiet means both windows have data and at least one burns slower.
	StateQuiet State = "quiet"
	// StateNoData means that in one of the windows nothing was counted.
	StateNoData State = "noData"
	// StateNoObjective means that the table sets no target, or for latency no objective.
	StateNoObjective State = "noObjective"
)

// A Report is how fast each kind spends its error budget.
type Report struct {
	At time.Time `json:"at"`
	// Partial tells that some process did not answer or is not known where
	// the report was made, so that there may be more of everything.
	Partial bool `json:"partial"`
	// ProcessesWithoutAddress is how many processes at least are heard of, but not known by address.
	ProcessesWithoutAddress int `json:"unseen"`
	// Age is how long the process that counted longest has counted: a longer
	// window holds no more than this.
	Age time.Duration `json:"age"`
	// Dropped counts the events of kinds beyond the recorders' bound.
	Dropped uint64 `json:"dropped,omitempty"`
	// Revision is the table whose objectives are used.
	Revision  table.Revision `json:"revision"`
	Alerts    []Alert        `json:"alerts"`
	Processes []Process      `json:"processes"`
	// Step is the time from one point of the series to the next.
	Step  time.Duration `json:"step"`
	Kinds []KindReport  `json:"kinds"`
}

// A Process is what one process gave to a report.
type Process struct {
	ID         fleet.ID   `json:"id"`
	Role       fleet.Role `json:"role"`
	DataCentre string     `json:"dataCentre"`
	// Age is how long it has counted.
	Age time.Duration `json:"age"`
	// Error says why the process did not answer.
	Error string `json:"error,omitempty"`
}

// A KindReport is the burn of one kind.
type KindReport struct {
	Kind fleet.Kind `json:"kind"`
	// Objective is the latency the kind is held to, 0 for none.
	Objective time.Duration `json:"objective"`
	// Target is the share of work that must meet the objective, 0 for none.
	Target  table.Share    `json:"target"`
	Floor   table.Share    `json:"floor"`
	Windows []WindowReport `json:"windows"`
	Signals []SignalReport `json:"signals"`
	// Series goes from the oldest point to the newest.
	Series []SeriesPoint `json:"series"`
}

// A WindowReport is what was counted in one window.
type WindowReport struct {
	Window time.Duration `json:"window"`
	Counts
	// P50 and P99 are quantiles of the answers' latency, nil where none was answered.
	P50 *time.Duration `json:"p50"`
	P99 *time.Duration `json:"p99"`
}

// A SignalReport is the burn of one signal.
type SignalReport struct {
	Signal Signal        `json:"signal"`
	Alerts []AlertReport `json:"alerts"`
}

// An AlertReport is the state of one alert with what it follows from.
type AlertReport struct {
	Name  string  `json:"name"`
	State State   `json:"state"`
	Long  Reading `json:"long"`
	Short Reading `json:"short"`
}

// A Reading is the burn over one window.
type Reading struct {
	Window time.Duration `json:"window"`
	Bad    uint64        `json:"bad"`
	Total  uint64        `json:"total"`
	// Burn is the burn rate, nil where there is no data or no objective.
	Burn *float64 `json:"burn"`
}

// A SeriesPoint is one step of a series.
type SeriesPoint struct {
	// At is the end of the step.
	At time.Time `json:"at"`
	// Burns are over the short window of the first alert that ends at At.
	Burns []SignalBurn `json:"burns"`
	// The rest is of the step alone.
	Counts
	P50 *time.Duration `json:"p50"`
	P99 *time.Duration `json:"p99"`
}

// A SignalBurn is the burn rate of one signal, nil where there is no data or
// no objective.
type SignalBurn struct {
	Signal Signal   `json:"signal"`
	Burn   *float64 `json:"burn"`
}

// Firing returns whether some alert of the signal fires, and the first that does.
func (s *SignalReport) Firing() (string, bool) {
	for _, a := range s.Alerts {
		if a.State == StateFiring {
			return a.Name, true
		}
	}
	return "", false
}

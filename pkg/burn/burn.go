// Package burn records the outcomes of requests by kind and computes how fast each
// kind spends its error budget.
//
// The error budget of a kind is the share of its requests that may miss the
// objective: one minus the target of its row in the operators' table. A burn rate
// of 1 spends exactly the budget. An alert fires when the burn rate reaches a
// threshold over a long and a short window at once, which is the multiwindow,
// multi-burn-rate form of "Alerting on SLOs", chapter 5 of The Site Reliability
// Workbook (Beyer et al., O'Reilly 2018).
package burn

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is returned for malformed or out-of-bounds queries and alerts.
var ErrInvalid = errors.New("burn: invalid")

// ErrMalformed is returned for a snapshot that does not match its query.
var ErrMalformed = errors.New("burn: malformed snapshot")

// The bounds of recorders and queries.
const (
	// BucketWidth is the time span of one bucket, and so the resolution of windows.
	BucketWidth = 10 * time.Second
	// MaxWindow is the longest window for which counts are kept.
	MaxWindow = 6 * time.Hour
	// maxKinds bounds the kinds of one recorder.
	maxKinds = 256
	// maxWindows bounds the windows of one query.
	maxWindows = 16
	// maxPoints bounds the points of one query.
	maxPoints = 400
)

// Alert is a threshold of the burn rate over two windows.
type Alert struct {
	Name string `json:"name"`
	// Rate is the burn rate at which the alert fires.
	Rate  float64       `json:"rate"`
	Long  time.Duration `json:"long"`
	Short time.Duration `json:"short"`
}

// DefaultAlerts returns the first two alerts of table 5-8 of The Site Reliability
// Workbook, which fire when 2% of the budget of 30 days is spent in an hour, or 5%
// in six hours.
func DefaultAlerts() []Alert {
	return []Alert{
		{Name: "page", Rate: 14.4, Long: time.Hour, Short: 5 * time.Minute},
		{Name: "ticket", Rate: 6, Long: 6 * time.Hour, Short: 30 * time.Minute},
	}
}

// alertParts is the number of parts after the name in the text form of an alert.
const alertParts = 3

// ParseAlert parses the text form of an alert, such as page=14.4/1h/5m. Its error
// is ErrInvalid.
func ParseAlert(s string) (Alert, error) {
	name, rest, _ := strings.Cut(s, "=")
	p := strings.Split(rest, "/")
	if len(p) != alertParts {
		return Alert{}, errors.Wrapf(ErrInvalid, "alert %q is not NAME=RATE/LONG/SHORT", s)
	}
	a := Alert{Name: name}
	var failed [alertParts]error
	a.Rate, failed[0] = strconv.ParseFloat(p[0], 64)
	a.Long, failed[1] = time.ParseDuration(p[1])
	a.Short, failed[2] = time.ParseDuration(p[2])
	for _, err := range failed {
		if err != nil {
			return Alert{}, errors.Wrapf(ErrInvalid, "alert %q: %v", s, err)
		}
	}
	return a, a.validate()
}

// String returns the alert in the form that ParseAlert accepts.
func (a Alert) String() string {
	return fmt.Sprintf("%s=%s/%s/%s", a.Name, strconv.FormatFloat(a.Rate, 'g', -1, 64), a.Long, a.Short)
}

// validate returns ErrInvalid for an alert without a name or out of bounds.
func (a Alert) validate() error {
	switch {
	case a.Name == "":
		return errors.Wrapf(ErrInvalid, "alert %q has no name", a)
	case !(a.Rate > 0 && a.Rate <= 1/minBudget):
		return errors.Wrapf(ErrInvalid, "the rate of alert %q is not between 0 and %g", a, 1/minBudget)
	case a.Short < BucketWidth || a.Long < a.Short || a.Long > MaxWindow:
		return errors.Wrapf(ErrInvalid, "alert %q needs %s <= SHORT <= LONG <= %s", a, BucketWidth, MaxWindow)
	default:
		return nil
	}
}

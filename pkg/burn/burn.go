// Package burn counts how kinds of work are served and tells how fast they
// spend their error budgets.
//
// The budget of a kind is the share of its work that may miss the objective:
// one less the target of its row in the operators' table. A burn rate of 1
// spends just the budget. An alert fires where the burn rate reaches a
// threshold over a long and over a short window at once, which is the
// multiwindow, multi-burn-rate form of "Alerting on SLOs", chapter 5 of The
// Site Reliability Workbook (Beyer et al., O'Reilly 2018).
package burn

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is returned for queries and alerts out of bounds.
var ErrInvalid = errors.New("burn: invalid")

// ErrMalformed is returned for a snapshot that does not answer its query.
var ErrMalformed = errors.New("burn: malformed snapshot")

// The bounds of what is counted and asked.
const (
	// BucketWidth is the time that one bucket counts; shorter windows are not told apart.
	BucketWidth = 10 * time.Second
	// MaxWindow is the longest window that is kept.
	MaxWindow = 6 * time.Hour
	// maxKinds bounds the kinds that one recorder counts.
	maxKinds = 256
	// maxWindows bounds the windows of one query.
	maxWindows = 16
	// maxPoints bounds the points of one query.
	maxPoints = 400
)

// An Alert is a threshold that holds over two windows.
type Alert struct {
	Name string `json:"name"`
	// Rate is the burn rate at which the alert fires.
	Rate  float64       `json:"rate"`
	Long  time.Duration `json:"long"`
	Short time.Duration `json:"short"`
}

// DefaultAlerts are the first two alerts of table 5-8 of The Site Reliability
// Workbook: 2% of the budget of 30 days in an hour, and 5% in six hours.
func DefaultAlerts() []Alert {
	return []Alert{
		{Name: "page", Rate: 14.4, Long: time.Hour, Short: 5 * time.Minute},
		{Name: "ticket", Rate: 6, Long: 6 * time.Hour, Short: 30 * time.Minute},
	}
}

// alertParts is how many parts follow the name in the text of an alert.
const alertParts = 3

// ParseAlert reads an alert as String writes it, such as page=14.4/1h/5m.
// Its error is ErrInvalid.
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
	return a, a.check()
}

// String returns the alert as ParseAlert reads it.
func (a Alert) String() string {
	return fmt.Sprintf("%s=%s/%s/%s", a.Name, strconv.FormatFloat(a.Rate, 'g', -1, 64), a.Long, a.Short)
}

func (a Alert) check() error {
	switch {
	case a.Name == "":
		return errors.Wrapf(ErrInvalid, "alert %q has no name", a)
	case !(a.Rate > 0 && a.Rate <= 1/leastBudget):
		return errors.Wrapf(ErrInvalid, "the rate of alert %q is not between 0 and %g", a, 1/leastBudget)
	case a.Short < BucketWidth || a.Long < a.Short || a.Long > MaxWindow:
		return errors.Wrapf(ErrInvalid, "alert %q needs %s <= SHORT <= LONG <= %s", a, BucketWidth, MaxWindow)
	default:
		return nil
	}
}

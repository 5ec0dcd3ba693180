package burn

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// chartPoints is about how many points a chart has.
const chartPoints = 120

// A Query asks a recorder for sums over windows and for a series.
type Query struct {
	Windows []time.Duration `cbor:"1,keyasint" json:"windows"`
	// Step is the time from one point of the series to the next, a multiple of Width.
	Step time.Duration `cbor:"2,keyasint" json:"step"`
	// Points is how many steps back from now the series goes.
	Points int `cbor:"3,keyasint" json:"points"`
}

// NewQuery returns what a report of the alerts needs whose charts go back by
// span. Its error is ErrInvalid.
func NewQuery(alerts []Alert, span time.Duration) (Query, error) {
	if len(alerts) == 0 || len(alerts) > maxWindows/2 {
		return Query{}, errors.Wrapf(ErrInvalid, "between 1 and %d alerts are needed", maxWindows/2)
	}
	if span < BucketWidth || span > MaxWindow {
		return Query{}, errors.Wrapf(ErrInvalid, "a span of %s is not between %s and %s", span, BucketWidth, MaxWindow)
	}
	var q Query
	for _, a := range alerts {
		if err := a.check(); err != nil {
			return Query{}, err
		}
		q.Windows = append(q.Windows, a.Long, a.Short)
	}
	slices.Sort(q.Windows)
	q.Windows = slices.Compact(q.Windows)
	q.Step = ceil(max(span, alerts[0].Short)/chartPoints, BucketWidth)
	// The first points of a chart sum up a short window that begins before it.
	q.Points = int(ceil(span, q.Step)/q.Step) + trail(alerts[0], q.Step) - 1
	return q, nil
}

// ceil returns the least positive multiple of unit that is not less than d.
func ceil(d, unit time.Duration) time.Duration {
	return max(1, (d+unit-1)/unit) * unit
}

// trail is how many steps the short window of the alert has in a series.
func trail(a Alert, step time.Duration) int {
	return int(ceil(a.Short, step) / step)
}

// Check returns ErrInvalid for a query out of bounds.
func (q Query) Check() error {
	if len(q.Windows) > maxWindows || q.Points < 0 || q.Points > maxPoints {
		return errors.Wrap(ErrInvalid, "too many windows or points")
	}
	if q.Step < BucketWidth || q.Step > MaxWindow || q.Step%BucketWidth != 0 {
		return errors.Wrap(ErrInvalid, "step out of bounds")
	}
	for _, w := range q.Windows {
		if w < BucketWidth || w > MaxWindow {
			return errors.Wrapf(ErrInvalid, "window %s out of bounds", w)
		}
	}
	return nil
}

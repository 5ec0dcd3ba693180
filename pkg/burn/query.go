package burn

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// chartPoints is the approximate number of points of a chart.
const chartPoints = 120

// Query requests counts over windows and a series of counts from a recorder.
type Query struct {
	Windows []time.Duration `cbor:"1,keyasint" json:"windows"`
	// Step is the time from one point of the series to the next, a multiple of Width.
	Step time.Duration `cbor:"2,keyasint" json:"step"`
	// Points is the number of steps by which the series goes back from now.
	Points int `cbor:"3,keyasint" json:"points"`
}

// NewQuery returns the query for a report on the alerts with charts that go back by
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
		if err := a.validate(); err != nil {
			return Query{}, err
		}
		q.Windows = append(q.Windows, a.Long, a.Short)
	}
	slices.Sort(q.Windows)
	q.Windows = slices.Compact(q.Windows)
	q.Step = roundUp(max(span, alerts[0].Short)/chartPoints, BucketWidth)
	// The short windows of the first points begin before the chart.
	q.Points = int(roundUp(span, q.Step)/q.Step) + shortWindowSteps(alerts[0], q.Step) - 1
	return q, nil
}

// roundUp returns the smallest positive multiple of unit that is at least d.
func roundUp(d, unit time.Duration) time.Duration {
	return max(1, (d+unit-1)/unit) * unit
}

// shortWindowSteps returns the length of the short window of a in steps of a series.
func shortWindowSteps(a Alert, step time.Duration) int {
	return int(roundUp(a.Short, step) / step)
}

// Check returns ErrInvalid if the query is out of bounds.
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

package schedule

import (
	"math"
	"time"
)

// A trend follows a value that rises and falls over seconds by a line through its
// recent samples. Older samples count less. The zero value has no samples.
type trend struct {
	at time.Time
	// count, age and ageSquared are the sums of the samples' weights, of their ages
	// in seconds and of the squares of these; value and valueAge those of their
	// values and of the products of value and age.
	count, age, ageSquared float64
	value, valueAge        float64
}

const (
	// trendMemory is the time in which the weight of a sample falls to a third.
	trendMemory = time.Second
	// trendRidge pulls the slope of few samples towards zero, in square seconds.
	trendRidge = 0.1
	// maxTrendAge bounds the age of a trend in use.
	maxTrendAge = 2 * time.Second
)

// add adds a sample.
func (r *trend) add(now time.Time, v float64) {
	r.advance(now)
	r.count++
	r.value += v
}

// advance lets the samples age until now.
func (r *trend) advance(now time.Time) {
	if r.at.IsZero() || !now.After(r.at) {
		r.at = now
		return
	}
	d := now.Sub(r.at).Seconds()
	w := math.Exp(-d / trendMemory.Seconds())
	r.ageSquared = w * (r.ageSquared + 2*d*r.age + d*d*r.count)
	r.age = w * (r.age + d*r.count)
	r.valueAge = w * (r.valueAge + d*r.value)
	r.count *= w
	r.value *= w
	r.at = now
}

// forecast returns the value that the line reaches in d from now, and whether
// there are recent samples.
func (r *trend) forecast(now time.Time, d time.Duration) (float64, bool) {
	if r.at.IsZero() || now.Sub(r.at) > maxTrendAge || r.count <= 0 {
		return 0, false
	}
	meanAge, mean := r.age/r.count, r.value/r.count
	variance := r.ageSquared/r.count - meanAge*meanAge
	// The slope is per second of age, so that it's negative for a rising value.
	slope := (r.valueAge/r.count - mean*meanAge) / (variance + trendRidge/r.count)
	return mean - slope*(meanAge+(now.Sub(r.at)+d).Seconds()), true
}

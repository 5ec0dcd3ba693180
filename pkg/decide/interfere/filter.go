package interfere

import (
	"math"
	"slices"
	"time"
)

// A filter estimates the weights of the aggressors of one victim together with the
// loads of its groups: the tasks of a group share the same load. Each observation is
//
//	occupancy = load + sum of weight * share + noise
//
// and the load of a group follows its slope, which changes over seconds. It's a
// Kalman filter over all weights, loads and slopes, so that differences between
// tasks of a group, and those of one task over time, show what the aggressors take.
// The variables are kept in rows; a group takes two, its load and the slope.
type filter struct {
	mean       []float64
	covariance [][]float64
	// buffer is reused by innovate.
	buffer []float64
}

// addRow adds a variable with a mean and a variance, and returns its row.
func (f *filter) addRow(mean, variance float64) int {
	n := len(f.mean)
	f.mean = append(f.mean, mean)
	for i := range f.covariance {
		f.covariance[i] = append(f.covariance[i], 0)
	}
	f.covariance = append(f.covariance, make([]float64, n+1))
	f.covariance[n][n] = variance
	return n
}

// resetRow forgets what is known of a variable and gives it a mean and a variance.
func (f *filter) resetRow(row int, mean, variance float64) {
	f.mean[row] = mean
	for i := range f.covariance {
		f.covariance[i][row], f.covariance[row][i] = 0, 0
	}
	f.covariance[row][row] = variance
}

// advance lets the load in row follow its slope, in the row behind it, for d.
func (f *filter) advance(row int, d time.Duration, slopeNoise float64) {
	t := d.Seconds()
	p, level, slope := f.covariance, row, row+1
	f.mean[level] += t * f.mean[slope]
	for i := range p {
		if i != level {
			p[level][i] += t * p[slope][i]
			p[i][level] = p[level][i]
		}
	}
	// The row of the level holds the covariance with the slope already.
	p[level][level] += 2*t*p[slope][level] - t*t*p[slope][slope]
	q := slopeNoise * slopeNoise
	p[level][level] += q * t * t * t / 3
	p[level][slope] += q * t * t / 2
	p[slope][level] = p[level][slope]
	p[slope][slope] += q * t
}

// A term is a variable of an observation with its factor.
type term struct {
	row    int
	factor float64
}

// predict returns the expected value of an observation.
func (f *filter) predict(terms []term) float64 {
	v := 0.0
	for _, x := range terms {
		v += x.factor * f.mean[x.row]
	}
	return v
}

// update takes in an observed value with the variance of its noise.
func (f *filter) update(terms []term, value, noise float64) {
	g, variance, innovation := f.innovate(terms, value, noise)
	for i := range g {
		if g[i] == 0 {
			continue
		}
		k := g[i] / variance
		f.mean[i] += k * innovation
		row := f.covariance[i]
		for j := range g {
			row[j] -= k * g[j]
		}
	}
}

// updateRows takes in an observed value like update, but changes only some variables.
func (f *filter) updateRows(rows []int, terms []term, value, noise float64) {
	g, variance, innovation := f.innovate(terms, value, noise)
	for _, r := range rows {
		k := g[r] / variance
		f.mean[r] += k * innovation
		for j := range g {
			f.covariance[r][j] -= k * g[j]
		}
	}
	for _, r := range rows {
		for j := range g {
			f.covariance[j][r] = f.covariance[r][j]
		}
	}
}

// variance returns the variance of the expected value of an observation.
func (f *filter) variance(terms []term) float64 {
	v := 0.0
	for _, x := range terms {
		for _, y := range terms {
			v += x.factor * y.factor * f.covariance[x.row][y.row]
		}
	}
	return v
}

// innovate returns the covariance of each variable with an observation, the variance
// of the observation, and by how much its value differs from the expected one.
func (f *filter) innovate(terms []term, value, noise float64) (covariance []float64, variance, innovation float64) {
	n := len(f.mean)
	if cap(f.buffer) < n {
		f.buffer = make([]float64, 2*n)
	}
	g := f.buffer[:n]
	for i := range g {
		g[i] = 0
		for _, x := range terms {
			g[i] += x.factor * f.covariance[i][x.row]
		}
	}
	variance = f.variance(terms) + noise
	most := limit(variance)
	return g, variance, min(max(value-f.predict(terms), -most), most)
}

// limit returns by how much an observation of a variance may differ from the expected
// one. One that differs more counts as much as one at the limit.
func limit(variance float64) float64 { return maxInnovation * math.Sqrt(variance) }

// removeRows removes n variables from row on.
func (f *filter) removeRows(row, n int) {
	f.mean = slices.Delete(f.mean, row, row+n)
	f.covariance = slices.Delete(f.covariance, row, row+n)
	for i := range f.covariance {
		f.covariance[i] = slices.Delete(f.covariance[i], row, row+n)
	}
}

package burn

import (
	"math"
	"time"
)

// Counts are the counts of one kind over some time.
type Counts struct {
	// Answered counts the requests whose callers received an answer.
	Answered uint64 `cbor:"1,keyasint,omitempty" json:"answered"`
	// Late counts those of Answered that took longer than the objective.
	Late uint64 `cbor:"2,keyasint,omitempty" json:"late"`
	// NotRun counts the requests reported to their callers as not run.
	NotRun uint64 `cbor:"3,keyasint,omitempty" json:"notRun"`
	// Unknown counts the requests reported to their callers with an unknown outcome.
	Unknown uint64 `cbor:"4,keyasint,omitempty" json:"unknown"`
	// FloorAsked counts the requests that reached an agent while it ran fewer
	// requests of their kind than the kind's floor.
	FloorAsked uint64 `cbor:"5,keyasint,omitempty" json:"floorAsked"`
	// FloorRefused counts those of FloorAsked that the agent refused.
	FloorRefused uint64 `cbor:"6,keyasint,omitempty" json:"floorRefused"`
	// FloorLate counts those of FloorAsked that started, but queued for longer
	// than the objective.
	FloorLate uint64 `cbor:"7,keyasint,omitempty" json:"floorLate"`
	// Latency is the distribution of the latency of Answered.
	Latency LatencyHistogram `cbor:"8,keyasint,omitempty" json:"-"`
}

// Outcomes returns the number of outcomes that were reported to callers.
func (c *Counts) Outcomes() uint64 {
	return c.Answered + c.NotRun + c.Unknown
}

// Add adds o to c.
func (c *Counts) Add(o *Counts) {
	c.Answered += o.Answered
	c.Late += o.Late
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.FloorAsked += o.FloorAsked
	c.FloorRefused += o.FloorRefused
	c.FloorLate += o.FloorLate
	c.Latency.add(o.Latency)
}

// The cells of a latency histogram. The upper bound of each is a fixed factor above
// that of the cell before, from a millisecond to about 65 seconds.
const (
	maxCells       = 96
	cellsPerOctave = 6
	firstCellEnd   = time.Millisecond
)

// LatencyHistogram is a histogram of latencies. Cell i counts those up to
// firstCellEnd * 2^(i/cellsPerOctave); the last cell also counts all longer ones.
type LatencyHistogram []uint64

// cellOf returns the index of the cell that counts d.
func cellOf(d time.Duration) int {
	if d <= firstCellEnd {
		return 0
	}
	i := int(math.Ceil(cellsPerOctave * math.Log2(float64(d)/float64(firstCellEnd))))
	return min(i, maxCells-1)
}

// cellEnd returns the upper bound of cell i.
func cellEnd(i int) time.Duration {
	return time.Duration(math.Round(float64(firstCellEnd) * math.Exp2(float64(i)/cellsPerOctave)))
}

// record adds one latency.
func (l *LatencyHistogram) record(d time.Duration) {
	i := cellOf(d)
	l.grow(i + 1)
	(*l)[i]++
}

// add adds the counts of o.
func (l *LatencyHistogram) add(o LatencyHistogram) {
	l.grow(len(o))
	for i, n := range o {
		(*l)[i] += n
	}
}

// grow extends the histogram to at least n cells.
func (l *LatencyHistogram) grow(n int) {
	if n > len(*l) {
		*l = append(*l, make(LatencyHistogram, n-len(*l))...)
	}
}

// Quantile returns the latency that the share q of the answers did not exceed,
// rounded up to the upper bound of its cell (at most 13% more). It returns false if
// there were no answers.
func (l LatencyHistogram) Quantile(q float64) (time.Duration, bool) {
	total := uint64(0)
	for _, n := range l {
		total += n
	}
	if total == 0 {
		return 0, false
	}
	rank := max(1, uint64(math.Ceil(q*float64(total))))
	seen := uint64(0)
	for i, n := range l {
		if seen += n; seen >= rank {
			return cellEnd(i), true
		}
	}
	return cellEnd(len(l) - 1), true
}

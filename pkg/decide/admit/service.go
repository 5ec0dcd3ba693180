package admit

import "time"

const (
	// smoothing is the weight of a new sample in the mean and the deviation.
	smoothing = 1.0 / 16
	// deviations is how far above the mean the conservative bound lies.
	deviations = 2
	// firstBlock and fullBlock are the samples of a block that the unloaded latency is learned from.
	firstBlock = 16
	fullBlock  = 64
	// blockLength is the least time that a full block covers.
	blockLength = 500 * time.Millisecond
	// baseFall is how far the unloaded latency follows a faster block.
	baseFall = 0.25
	// baseRise is how fast the unloaded latency rises, a second.
	baseRise = 0.005
)

// A serviceTime learns how long requests of one kind take.
//
// The bound is the mean plus a multiple of the mean deviation, both smoothed
// exponentially (Jacobson, Congestion Avoidance and Control, 1988). For
// exponential service times it lies near the 91st percentile.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
	// base is the latency of an unloaded host, zero until known.
	base time.Duration
	// grown reports whether a full block has been seen.
	grown bool

	blockSum   time.Duration
	blockCount int
	blockAt    time.Duration
}

// bound returns a conservative estimate of one service time, zero until known.
func (s *serviceTime) bound() time.Duration {
	return s.mean + deviations*s.deviation
}

// add takes the sample l at now.
func (s *serviceTime) add(now, l time.Duration) {
	l = max(l, 1)
	if s.mean == 0 {
		s.restart(l)
	} else {
		d := l - s.mean
		s.mean += time.Duration(smoothing * float64(d))
		s.mean = max(s.mean, 1)
		s.deviation += time.Duration(smoothing * (float64(d.Abs()) - float64(s.deviation)))
	}
	s.learnBase(now, l)
}

// restart forgets the mean and starts again from l.
func (s *serviceTime) restart(l time.Duration) {
	s.mean = max(l, 1)
	s.deviation = l / 2
}

// learnBase takes the mean of the first samples, then follows fast blocks
// quickly and slow blocks slowly, so that it stays near the latency without
// contention.
func (s *serviceTime) learnBase(now, l time.Duration) {
	s.blockSum += l
	s.blockCount++
	m := s.blockSum / time.Duration(s.blockCount)
	if !s.grown {
		s.startBase(now, m)
		return
	}
	if s.blockCount < fullBlock || now-s.blockAt < blockLength {
		return
	}
	if m < s.base {
		s.base -= time.Duration(baseFall * float64(s.base-m))
	} else {
		rise := 1 + baseRise*(now-s.blockAt).Seconds()
		s.base = min(m, time.Duration(float64(s.base)*rise))
	}
	s.endBlock(now)
}

// startBase learns the base from the mean m of the first block.
func (s *serviceTime) startBase(now, m time.Duration) {
	if s.blockCount < firstBlock {
		return
	}
	s.base = m
	if s.blockCount >= fullBlock {
		s.grown = true
		s.endBlock(now)
	}
}

// endBlock starts the next block.
func (s *serviceTime) endBlock(now time.Duration) {
	s.base = max(s.base, 1)
	s.blockSum, s.blockCount, s.blockAt = 0, 0, now
}

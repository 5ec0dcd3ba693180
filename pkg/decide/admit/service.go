package admit

import "time"

const (
	// smoothingWeight is the weight of a new sample in the moving averages of latency and deviation.
	smoothingWeight = 1.0 / 16
	// boundDeviations is the number of mean deviations by which the upper bound exceeds the mean.
	boundDeviations = 2
	// minInitialBlockSamples is the number of samples after which the first block yields an
	// estimate of the base latency.
	minInitialBlockSamples = 16
	// minFullBlockSamples is the minimum number of samples in a full block.
	minFullBlockSamples = 64
	// minBlockDuration is the minimum time covered by each full block after the first.
	minBlockDuration = 500 * time.Millisecond
	// baseLatencyFallFactor is the fraction of the difference to a faster block by which the
	// base latency falls.
	baseLatencyFallFactor = 0.25
	// baseLatencyRisePerSecond is the maximum relative rise of the base latency per second.
	baseLatencyRisePerSecond = 0.005
)

// A serviceTime estimates the service time of one kind from measured latencies.
//
// The upper bound is the mean plus a multiple of the mean deviation, both of them
// exponentially weighted moving averages (Jacobson, Congestion Avoidance and
// Control, 1988). For exponential service times it is close to the 91st percentile.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
	// baseLatency is the estimated latency on an unloaded host, zero until known.
	baseLatency time.Duration
	// fullBlockSeen reports whether the first full block is complete.
	fullBlockSeen bool

	blockSum   time.Duration
	blockCount int
	blockStart time.Duration
}

// upperBound returns a conservative estimate of the service time, zero until known.
func (s *serviceTime) upperBound() time.Duration {
	return s.mean + boundDeviations*s.deviation
}

// add adds the latency sample l.
func (s *serviceTime) add(now, l time.Duration) {
	l = max(l, 1)
	if s.mean == 0 {
		s.reset(l)
	} else {
		d := l - s.mean
		s.mean += time.Duration(smoothingWeight * float64(d))
		s.mean = max(s.mean, 1)
		s.deviation += time.Duration(smoothingWeight * (float64(d.Abs()) - float64(s.deviation)))
	}
	s.updateBaseLatency(now, l)
}

// reset restarts the mean and the deviation from the sample l.
func (s *serviceTime) reset(l time.Duration) {
	s.mean = max(l, 1)
	s.deviation = l / 2
}

// updateBaseLatency adds the sample l to the current block. In the first block the base
// latency is the mean of the samples so far. Later it falls quickly towards faster blocks
// and rises slowly towards slower ones, so that it stays close to the latency without
// contention.
func (s *serviceTime) updateBaseLatency(now, l time.Duration) {
	s.blockSum += l
	s.blockCount++
	m := s.blockSum / time.Duration(s.blockCount)
	if !s.fullBlockSeen {
		s.initialiseBaseLatency(now, m)
		return
	}
	if s.blockCount < minFullBlockSamples || now-s.blockStart < minBlockDuration {
		return
	}
	if m < s.baseLatency {
		s.baseLatency -= time.Duration(baseLatencyFallFactor * float64(s.baseLatency-m))
	} else {
		rise := 1 + baseLatencyRisePerSecond*(now-s.blockStart).Seconds()
		s.baseLatency = min(m, time.Duration(float64(s.baseLatency)*rise))
	}
	s.endBlock(now)
}

// initialiseBaseLatency sets the base latency to m, the mean of the first block so far.
func (s *serviceTime) initialiseBaseLatency(now, m time.Duration) {
	if s.blockCount < minInitialBlockSamples {
		return
	}
	s.baseLatency = m
	if s.blockCount >= minFullBlockSamples {
		s.fullBlockSeen = true
		s.endBlock(now)
	}
}

// endBlock ends the current block and starts the next one.
func (s *serviceTime) endBlock(now time.Duration) {
	s.baseLatency = max(s.baseLatency, 1)
	s.blockSum, s.blockCount, s.blockStart = 0, 0, now
}

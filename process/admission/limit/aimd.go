package limit

import "time"

const (
	// decreaseFactor is the factor of a decrease.
	decreaseFactor = 0.8
	// aimdLatencyFactor is how many times the lowest mean latency is too much.
	aimdLatencyFactor = 3
	// minLatencyDrift is how much the lowest mean latency rises a window, so that
	// it follows a target that has become slower for good.
	minLatencyDrift = 1.01
)

// aimd grows by addition and shrinks by multiplication.
type aimd struct {
	bounded
	window     window
	minLatency time.Duration
}

func newAIMD(b Bounds) Limit { return &aimd{bounded: newBounded(b)} }

// Name implements Limit.
func (*aimd) Name() string { return "aimd" }

// Observe implements Limit.
func (l *aimd) Observe(o Observation) {
	closed, mean, full := l.window.add(o)
	if !full {
		return
	}
	l.minLatency = trackMinLatency(l.minLatency, mean)
	slow := mean > aimdLatencyFactor*l.minLatency
	switch {
	case closed.dropped > 0 || slow:
		l.set(l.value * decreaseFactor)
	case closed.wellUsed(l.value):
		l.set(l.value + 1)
	}
}

// trackMinLatency follows the lowest mean latency. A mean of zero says nothing.
func trackMinLatency(lowest, mean time.Duration) time.Duration {
	if mean == 0 {
		return lowest
	}
	if lowest == 0 {
		return mean
	}
	return min(time.Duration(float64(lowest)*minLatencyDrift), mean)
}

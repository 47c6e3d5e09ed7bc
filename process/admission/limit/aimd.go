package limit

import "time"

const (
	// decreaseFactor multiplies the limit at a decrease. The gradient limit uses
	// it too, when requests were dropped.
	decreaseFactor = 0.8
	// aimdLatencyFactor is the multiple of the lowest mean latency above which
	// the limit decreases.
	aimdLatencyFactor = 3
	// minLatencyDrift is the factor by which the lowest mean latency rises with
	// each window, so that it adapts to a target that stays slower.
	minLatencyDrift = 1.01
)

// aimd implements additive increase and multiplicative decrease.
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

// trackMinLatency returns the lowest mean latency after a window with the given
// mean latency. A mean of zero, from a window without answers, changes nothing.
func trackMinLatency(lowest, mean time.Duration) time.Duration {
	if mean == 0 {
		return lowest
	}
	if lowest == 0 {
		return mean
	}
	return min(time.Duration(float64(lowest)*minLatencyDrift), mean)
}

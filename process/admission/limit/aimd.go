package limit

import "time"

const (
	// aimdBackoff is the factor of a decrease.
	aimdBackoff = 0.8
	// aimdSlow is how many times the lowest mean latency is too much.
	aimdSlow = 3
	// lowestDrift is how much the lowest mean latency rises a window, so that
	// it follows a target that has become slower for good.
	lowestDrift = 1.01
)

// aimd grows by addition and shrinks by multiplication.
type aimd struct {
	bounded
	window window
	lowest time.Duration
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
	l.lowest = lower(l.lowest, mean)
	slow := mean > aimdSlow*l.lowest
	switch {
	case closed.dropped > 0 || slow:
		l.set(l.value * aimdBackoff)
	case closed.inUse(l.value):
		l.set(l.value + 1)
	}
}

// lower follows the lowest mean latency. A mean of zero says nothing.
func lower(lowest, mean time.Duration) time.Duration {
	if mean == 0 {
		return lowest
	}
	if lowest == 0 {
		return mean
	}
	return min(time.Duration(float64(lowest)*lowestDrift), mean)
}

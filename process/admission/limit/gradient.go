package limit

import (
	"math"
	"time"
)

const (
	// gradientTolerance is how many times the usual latency is no sign of load.
	gradientTolerance = 1.5
	// gradientLeast is the strongest decrease of one window.
	gradientLeast = 0.5
	// gradientSmoothing is the weight of one window in the limit.
	gradientSmoothing = 0.3
	// usualShare is the weight of one window in the usual latency.
	usualShare = 0.02
	// usualRecovery is the factor by which a usual latency that is far too
	// high falls, so that a long slow spell is soon forgotten.
	usualRecovery = 0.9
)

// gradient follows the ratio of the usual latency to the present one.
type gradient struct {
	bounded
	window window
	usual  time.Duration
}

func newGradient(b Bounds) Limit { return &gradient{bounded: newBounded(b)} }

// Name implements Limit.
func (*gradient) Name() string { return "gradient" }

// Observe implements Limit.
func (l *gradient) Observe(o Observation) {
	closed, mean, full := l.window.add(o)
	if !full {
		return
	}
	if closed.dropped > 0 {
		l.set(l.value * decreaseFactor)
	}
	if mean == 0 {
		return
	}
	l.follow(mean)
	ratio := gradientTolerance * float64(l.usual) / float64(mean)
	ratio = min(max(ratio, gradientLeast), 1)
	if ratio == 1 && (closed.dropped > 0 || !closed.inUse(l.value)) {
		return
	}
	queue := math.Sqrt(l.value)
	if ratio < 1 {
		queue = 0
	}
	target := l.value*ratio + queue
	l.set(l.value*(1-gradientSmoothing) + target*gradientSmoothing)
}

// follow moves the usual latency towards the present mean.
func (l *gradient) follow(mean time.Duration) {
	if l.usual == 0 {
		l.usual = mean
		return
	}
	l.usual += time.Duration(usualShare * float64(mean-l.usual))
	if l.usual > 2*mean {
		l.usual = time.Duration(usualRecovery * float64(l.usual))
	}
}

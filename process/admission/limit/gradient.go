package limit

import (
	"math"
	"time"
)

const (
	// gradientTolerance is the multiple of the usual latency up to which the
	// latency is no sign of overload.
	gradientTolerance = 1.5
	// gradientMinRatio is the lowest ratio by which one window multiplies the
	// limit before smoothing.
	gradientMinRatio = 0.5
	// gradientSmoothing is the weight of one window in the limit.
	gradientSmoothing = 0.3
	// usualLatencyWeight is the weight of one window in the usual latency.
	usualLatencyWeight = 0.02
	// usualLatencyDecay multiplies a usual latency of more than twice the present
	// one, so that it recovers soon from a long slow period.
	usualLatencyDecay = 0.9
)

// gradient multiplies the limit by the ratio of the usual latency to the
// present one.
type gradient struct {
	bounded
	window       window
	usualLatency time.Duration
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
	l.updateUsualLatency(mean)
	ratio := gradientTolerance * float64(l.usualLatency) / float64(mean)
	ratio = min(max(ratio, gradientMinRatio), 1)
	if ratio == 1 && (closed.dropped > 0 || !closed.wellUsed(l.value)) {
		return
	}
	queue := math.Sqrt(l.value)
	if ratio < 1 {
		queue = 0
	}
	next := l.value*ratio + queue
	l.set(l.value*(1-gradientSmoothing) + next*gradientSmoothing)
}

// updateUsualLatency moves the usual latency towards the mean of a window.
func (l *gradient) updateUsualLatency(mean time.Duration) {
	if l.usualLatency == 0 {
		l.usualLatency = mean
		return
	}
	l.usualLatency += time.Duration(usualLatencyWeight * float64(mean-l.usualLatency))
	if l.usualLatency > 2*mean {
		l.usualLatency = time.Duration(usualLatencyDecay * float64(l.usualLatency))
	}
}

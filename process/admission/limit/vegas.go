package limit

import (
	"math"
	"time"
)

const (
	// vegasFew and vegasMany bound the queue that the limit aims at, in
	// multiples of the limit's logarithm, which counts as at least 1.
	vegasFew  = 3
	vegasMany = 6
)

// vegas keeps the estimated queue at the target short.
type vegas struct {
	bounded
	window window
	lowest time.Duration
}

func newVegas(b Bounds) Limit { return &vegas{bounded: newBounded(b)} }

// Name implements Limit.
func (*vegas) Name() string { return "vegas" }

// Observe implements Limit.
func (l *vegas) Observe(o Observation) {
	closed, mean, full := l.window.add(o)
	if !full {
		return
	}
	step := max(math.Log10(l.value), 1)
	if closed.dropped > 0 {
		l.set(l.value - step)
		return
	}
	l.lowest = trackMinLatency(l.lowest, mean)
	if mean == 0 {
		return
	}
	queue := l.value * (1 - float64(l.lowest)/float64(mean))
	switch {
	case queue > vegasMany*step:
		l.set(l.value - step)
	case queue < vegasFew*step && closed.inUse(l.value):
		l.set(l.value + step)
	}
}

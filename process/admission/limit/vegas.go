package limit

import (
	"math"
	"time"
)

const (
	// vegasMinQueue and vegasMaxQueue bound the estimated queue within which the
	// limit stays the same, in multiples of the decimal logarithm of the limit,
	// or of 1 if that is higher.
	vegasMinQueue = 3
	vegasMaxQueue = 6
)

// vegas keeps the estimated queue at the target short, as TCP Vegas does in
// the network.
type vegas struct {
	bounded
	window     window
	minLatency time.Duration
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
	l.minLatency = trackMinLatency(l.minLatency, mean)
	if mean == 0 {
		return
	}
	queue := l.value * (1 - float64(l.minLatency)/float64(mean))
	switch {
	case queue > vegasMaxQueue*step:
		l.set(l.value - step)
	case queue < vegasMinQueue*step && closed.wellUsed(l.value):
		l.set(l.value + step)
	}
}

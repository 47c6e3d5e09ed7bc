package limit

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds holds the lowest and the highest value of a limit, in requests in
// flight.
type Bounds struct {
	// Min is the lowest value. New raises it to at least 1.
	Min int
	// Max is the highest value, and the initial one. New raises it to at least
	// Min.
	Max int
}

// Observation describes how one request at the target ended.
type Observation struct {
	// Latency is the time from admission to the end.
	Latency time.Duration
	// InFlight is the number of requests in flight right after the admission of
	// this one.
	InFlight int
	// Dropped is set if the target shed the request.
	Dropped bool
}

// Limit is an adaptive concurrency limit for one target. It is not safe for
// concurrent use.
type Limit interface {
	// Name returns the name under which New creates this limit.
	Name() string
	// Observe updates the limit with the end of a request.
	Observe(o Observation)
	// Value returns the limit, which is within its Bounds.
	Value() int
}

// DefaultName is the name of the limit in the default settings.
const DefaultName = "gradient"

var constructors = map[string]func(Bounds) Limit{
	"fixed":    newFixed,
	"aimd":     newAIMD,
	"gradient": newGradient,
	"vegas":    newVegas,
}

// Names returns the names that New accepts.
func Names() []string {
	return []string{"fixed", "aimd", "gradient", "vegas"}
}

// New returns the limit with the given name, at its maximum. It returns an
// error if the name is unknown.
func New(name string, b Bounds) (Limit, error) {
	construct, ok := constructors[name]
	if !ok {
		return nil, errors.Errorf("unknown adaptive limit %q, expected one of %v", name, Names())
	}
	b.Min = max(b.Min, 1)
	b.Max = max(b.Max, b.Min)
	return construct(b), nil
}

// windowSize is the number of requests in a window.
const windowSize = 10

// window aggregates the observations of windowSize requests.
type window struct {
	count       int
	latencySum  time.Duration // of the requests that were not dropped
	maxInFlight int
	dropped     int
}

// add adds an observation. When the window is full, add returns it with the
// mean latency of its answers and starts a new one. The mean is zero if all
// requests of the window were dropped.
func (w *window) add(o Observation) (closed window, mean time.Duration, full bool) {
	w.maxInFlight = max(w.maxInFlight, o.InFlight)
	w.count++
	if o.Dropped {
		w.dropped++
	} else {
		w.latencySum += o.Latency
	}
	if w.count < windowSize {
		return window{}, 0, false
	}
	closed = *w
	*w = window{}
	if closed.count > closed.dropped {
		mean = closed.latencySum / time.Duration(closed.count-closed.dropped)
	}
	return closed, mean, true
}

// wellUsed reports whether at least half of the limit was in use at some time
// in the window. Otherwise the window is no evidence for a higher limit.
func (w *window) wellUsed(limit float64) bool {
	return float64(w.maxInFlight)*2 >= limit
}

// bounded holds a value within bounds. Every limit embeds it.
type bounded struct {
	bounds Bounds
	value  float64
}

func newBounded(b Bounds) bounded {
	return bounded{bounds: b, value: float64(b.Max)}
}

func (b *bounded) set(value float64) {
	b.value = min(max(value, float64(b.bounds.Min)), float64(b.bounds.Max))
}

// Value implements Limit.
func (b *bounded) Value() int { return int(b.value) }

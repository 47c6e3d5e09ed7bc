package limit

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds of a limit, in requests at once.
type Bounds struct {
	// Min is the lowest limit. At least 1.
	Min int
	// Max is the highest limit, which is where it starts.
	Max int
}

// Observation is the end of one request at the target.
type Observation struct {
	// Latency is the time from admission to the end.
	Latency time.Duration
	// InFlight counts what ran when the request was admitted, with itself.
	InFlight int
	// Dropped tells that the target shed the request.
	Dropped bool
}

// Limit follows one target. It is not safe for concurrent use.
type Limit interface {
	// Name returns the name that New knows.
	Name() string
	// Observe takes in the end of a request.
	Observe(o Observation)
	// Value returns the limit, between floor and ceiling.
	Value() int
}

// DefaultName is the name of the limit that a guard uses unless told otherwise.
const DefaultName = "gradient"

var constructors = map[string]func(Bounds) Limit{
	"fixed":    newFixed,
	"aimd":     newAIMD,
	"gradient": newGradient,
	"vegas":    newVegas,
}

// Names returns the names that New knows.
func Names() []string {
	return []string{"fixed", "aimd", "gradient", "vegas"}
}

// New returns the limit of a name, at its ceiling.
func New(name string, b Bounds) (Limit, error) {
	construct, ok := constructors[name]
	if !ok {
		return nil, errors.Errorf("choose adaptive limit: %q is none of %v", name, Names())
	}
	b.Min = max(b.Min, 1)
	b.Max = max(b.Max, b.Min)
	return construct(b), nil
}

// windowSize is how many answers make a window.
const windowSize = 10

// window gathers the answers of a window.
type window struct {
	count    int
	sum      time.Duration
	inFlight int
	dropped  int
}

// add returns the window with its mean latency when it is full.
func (w *window) add(o Observation) (closed window, mean time.Duration, full bool) {
	w.inFlight = max(w.inFlight, o.InFlight)
	w.count++
	if o.Dropped {
		w.dropped++
	} else {
		w.sum += o.Latency
	}
	if w.count < windowSize {
		return window{}, 0, false
	}
	closed = *w
	*w = window{}
	if closed.count > closed.dropped {
		mean = closed.sum / time.Duration(closed.count-closed.dropped)
	}
	return closed, mean, true
}

// inUse reports whether enough ran in the window to prove a limit.
func (w *window) inUse(limit float64) bool {
	return float64(w.inFlight)*2 >= limit
}

// bounded is the part that all limits share.
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

package platform

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Backoff.
const (
	// DefaultBackoffBase bounds the first delay.
	DefaultBackoffBase = 100 * time.Millisecond
	// DefaultBackoffCap bounds every delay.
	DefaultBackoffCap = 10 * time.Second
)

// Backoff counts failures in a row and gives the delay after each: uniform
// between zero and a bound that doubles with each failure up to a cap. The
// zero value uses the defaults. It is not safe for concurrent use.
type Backoff struct {
	// Base bounds the delay after the first failure.
	Base time.Duration
	// Cap bounds the delay after any failure.
	Cap time.Duration

	failures int
}

// Next records a failure and returns the delay before the next call.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	bound := b.bound()
	b.failures++
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Reset records a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// Failures returns the number of failures since the last success.
func (b *Backoff) Failures() int {
	return b.failures
}

func (b *Backoff) bound() time.Duration {
	bound := b.Base
	if bound <= 0 {
		bound = DefaultBackoffBase
	}
	limit := b.Cap
	if limit <= 0 {
		limit = DefaultBackoffCap
	}
	for i := 0; i < b.failures && bound < limit; i++ {
		bound *= 2
	}
	return min(bound, limit)
}

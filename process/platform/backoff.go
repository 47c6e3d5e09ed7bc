package platform

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Backoff.
const (
	// DefaultBackoffBase is the maximum delay after the first failure.
	DefaultBackoffBase = 100 * time.Millisecond
	// DefaultBackoffCap is the maximum delay after any failure.
	DefaultBackoffCap = 10 * time.Second
)

// Backoff computes exponential backoff with full jitter: the delay after a failure
// is distributed uniformly between zero and a bound that doubles with each
// consecutive failure up to a cap. The zero value uses the defaults. It is not
// safe for concurrent use.
type Backoff struct {
	// Base is the maximum delay after the first failure. Zero means
	// DefaultBackoffBase.
	Base time.Duration
	// Cap is the maximum delay after any failure. Zero means DefaultBackoffCap.
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

// Failures returns the number of failures since the last success, or since the
// Backoff was created.
func (b *Backoff) Failures() int {
	return b.failures
}

// bound returns the maximum delay after the next failure.
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

package request

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HedgePolicy bounds the hedges of one service's idempotent requests. A hedge
// is a second attempt that is sent while the first is still in flight.
type HedgePolicy struct {
	// Ratio is how many hedges each request adds to the budget.
	Ratio float64
	// Burst is how many unused hedges the budget can hold.
	Burst float64
	// Quantile is the quantile of the service's latencies, in percent, that
	// sets the delay before a hedge.
	Quantile float64
	// MinDelay is the shortest delay before a hedge.
	MinDelay time.Duration
}

// DefaultHedgePolicy allows one hedge for every twenty requests.
var DefaultHedgePolicy = HedgePolicy{Ratio: 0.05, Burst: 10, Quantile: 95, MinDelay: time.Millisecond}

const (
	// hedgeWindow is the shortest period over which latencies are collected
	// before they set the delay.
	hedgeWindow = 500 * time.Millisecond
	// hedgeMinSamples is the smallest number of latencies that sets the delay.
	hedgeMinSamples = 20
	// hedgeMinMicros and hedgeMaxMicros bound the recorded latencies, in
	// microseconds.
	hedgeMinMicros = 10
	hedgeMaxMicros = int64(time.Minute / time.Microsecond)
	// hedgeSignificantDigits is the precision of the histogram. With one
	// significant digit, it takes 3 kB.
	hedgeSignificantDigits = 1
)

// HedgeBudget bounds the hedges of one service and sets the delay after which
// a request is hedged: a high quantile of the latencies in the last complete
// window. It is safe for concurrent use.
type HedgeBudget struct {
	mu          sync.Mutex
	policy      HedgePolicy
	bucket      tokenBucket
	histogram   *hdrhistogram.Histogram
	windowStart time.Time
	delay       time.Duration
}

// NewHedgeBudget returns an empty budget for one service.
func NewHedgeBudget(p HedgePolicy, now time.Time) *HedgeBudget {
	b := &HedgeBudget{policy: p, bucket: newTokenBucket(p.Burst, 0, now), windowStart: now}
	b.bucket.tokens = 0
	b.histogram = hdrhistogram.New(hedgeMinMicros, hedgeMaxMicros, hedgeSignificantDigits)
	return b
}

// RecordRequest adds the Ratio of the policy to the budget. It must be called
// once for each request, however many attempts the request takes.
func (b *HedgeBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.add(b.policy.Ratio)
}

// Observe records the latency of an answered attempt.
func (b *HedgeBudget) Observe(latency time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	micros := min(max(latency.Microseconds(), hedgeMinMicros), hedgeMaxMicros)
	_ = b.histogram.RecordValue(micros) // never fails, since the value is within bounds
}

// Delay returns how long the first attempt must have been in flight before a
// hedge is sent. It returns false until enough latencies have been recorded.
func (b *HedgeBudget) Delay(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	return b.delay, b.delay > 0
}

// Allow reports whether the budget allows a hedge, and spends it if so. Callers
// wait for the delay first.
func (b *HedgeBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.take(now, 1)
}

// rotate sets the delay from a completed window and starts the next one. A
// window with too few latencies is extended.
func (b *HedgeBudget) rotate(now time.Time) {
	if now.Sub(b.windowStart) < hedgeWindow || b.histogram.TotalCount() < hedgeMinSamples {
		return
	}
	micros := b.histogram.ValueAtQuantile(b.policy.Quantile)
	b.delay = max(time.Duration(micros)*time.Microsecond, b.policy.MinDelay)
	b.histogram.Reset()
	b.windowStart = now
}

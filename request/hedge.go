package request

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HedgePolicy bounds the second attempts that idempotent requests of one
// service start while the first still runs.
type HedgePolicy struct {
	// Ratio is how many hedges each request earns.
	Ratio float64
	// Burst is how many earned hedges are kept.
	Burst float64
	// Quantile of the service's latency after which a hedge starts, in percent.
	Quantile float64
	// MinDelay is the shortest delay before a hedge.
	MinDelay time.Duration
}

// DefaultHedgePolicy hedges at most one request in twenty.
var DefaultHedgePolicy = HedgePolicy{Ratio: 0.05, Burst: 10, Quantile: 95, MinDelay: time.Millisecond}

const (
	// hedgeWindow is how long latencies are gathered before they set the delay.
	hedgeWindow = 500 * time.Millisecond
	// hedgeMinSamples is how many latencies a window needs to set the delay.
	hedgeMinSamples = 20
	// hedgeMinMicros and hedgeHighest bound the recorded latencies, in microseconds.
	hedgeMinMicros = 10
	hedgeMaxMicros = int64(time.Minute / time.Microsecond)
	// hedgeSignificantDigits is the histogram's precision; one digit keeps it at 3 kB.
	hedgeSignificantDigits = 1
)

// HedgeBudget decides when a hedge may start. The delay is a high quantile
// of the latencies in the latest full window.
type HedgeBudget struct {
	mu          sync.Mutex
	policy      HedgePolicy
	bucket      tokenBucket
	histogram   *hdrhistogram.Histogram
	windowStart time.Time
	delay       time.Duration
}

// NewHedgeBudget returns an empty budget of one service.
func NewHedgeBudget(p HedgePolicy, now time.Time) *HedgeBudget {
	b := &HedgeBudget{policy: p, bucket: newTokenBucket(p.Burst, 0, now), windowStart: now}
	b.bucket.tokens = 0
	b.histogram = hdrhistogram.New(hedgeMinMicros, hedgeMaxMicros, hedgeSignificantDigits)
	return b
}

// RecordRequest earns the share of one request. It is told of each request once,
// however many attempts it takes.
func (b *HedgeBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.add(b.policy.Ratio)
}

// Observe records the latency of an attempt that was answered.
func (b *HedgeBudget) Observe(latency time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	micros := min(max(latency.Microseconds(), hedgeMinMicros), hedgeMaxMicros)
	_ = b.histogram.RecordValue(micros) // within bounds, hence never an error
}

// Delay returns how long to wait for the first attempt before a hedge
// starts. It returns false while too little is known.
func (b *HedgeBudget) Delay(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	return b.delay, b.delay > 0
}

// Allow spends a hedge if the budget has one. It is asked after the delay.
func (b *HedgeBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.take(now, 1)
}

// rotate sets the delay from a window that is over. A window with too few
// latencies goes on.
func (b *HedgeBudget) rotate(now time.Time) {
	if now.Sub(b.windowStart) < hedgeWindow || b.histogram.TotalCount() < hedgeMinSamples {
		return
	}
	micros := b.histogram.ValueAtQuantile(b.policy.Quantile)
	b.delay = max(time.Duration(micros)*time.Microsecond, b.policy.MinDelay)
	b.histogram.Reset()
	b.windowStart = now
}

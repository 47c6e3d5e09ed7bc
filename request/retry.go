package request

import (
	"sync"
	"time"
)

// RetryPolicy bounds the further attempts of one service's requests.
type RetryPolicy struct {
	// Ratio is how many retries each answered request earns.
	Ratio float64
	// MinPerSecond is how many retries a second are earned by time alone,
	// so that a service with little traffic can retry at all.
	MinPerSecond float64
	// Burst is how many earned retries are kept.
	Burst float64
}

// DefaultRetryPolicy lets one answered request in ten earn a retry.
var DefaultRetryPolicy = RetryPolicy{Ratio: 0.1, MinPerSecond: 1, Burst: 20}

const (
	// retryCostUnknown is the price of a retry after an end that cost a target work.
	retryCostUnknown = 1.0
	// retryCostRefusal is the price of a retry after a refusal, which cost a
	// hop between nodes and no target's work.
	retryCostRefusal = 0.2
)

// RetryBudget bounds further attempts so that they can't amplify an
// overload: over any time, the retries allowed after unknown ends plus a fifth
// of those after refusals are at most the burst, plus the share of the
// answers, plus the floor.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	bucket tokenBucket
}

// NewRetryBudget returns a full budget of one service.
func NewRetryBudget(p RetryPolicy, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: p.Ratio, bucket: newTokenBucket(p.Burst, p.MinPerSecond, now)}
}

// RecordSuccess earns the share of an answered request.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.add(b.ratio)
}

// AllowAfterRefusal spends the price of a retry of a refused attempt, if the
// budget has it.
func (b *RetryBudget) AllowAfterRefusal(now time.Time) bool {
	return b.allow(now, retryCostRefusal)
}

// AllowAfterUnknown spends the price of a retry of an attempt that a target may
// have run, if the budget has it.
func (b *RetryBudget) AllowAfterUnknown(now time.Time) bool {
	return b.allow(now, retryCostUnknown)
}

func (b *RetryBudget) allow(now time.Time, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.take(now, cost)
}

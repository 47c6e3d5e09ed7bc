package request

import (
	"sync"
	"time"
)

// RetryPolicy bounds the retries of one service's requests.
type RetryPolicy struct {
	// Ratio is how many retries each answered request adds to the budget.
	Ratio float64
	// MinPerSecond is how many retries are added to the budget per second
	// regardless of traffic, so that a service with little traffic can retry
	// at all.
	MinPerSecond float64
	// Burst is how many unused retries the budget can hold.
	Burst float64
}

// DefaultRetryPolicy allows one retry for every ten answered requests.
var DefaultRetryPolicy = RetryPolicy{Ratio: 0.1, MinPerSecond: 1, Burst: 20}

const (
	// retryCostUnknown is the cost of a retry after an attempt with an unknown
	// outcome, on which a target may have spent work.
	retryCostUnknown = 1.0
	// retryCostRefusal is the cost of a retry after a refusal, which cost a hop
	// between nodes but no work of a target.
	retryCostRefusal = 0.2
)

// RetryBudget bounds retries so that they can't amplify an overload. Over any
// period, the retries after unknown outcomes plus a fifth of the retries after
// refusals are at most Burst, plus Ratio times the answered requests, plus
// MinPerSecond times the length of the period. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	bucket tokenBucket
}

// NewRetryBudget returns a full budget for one service.
func NewRetryBudget(p RetryPolicy, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: p.Ratio, bucket: newTokenBucket(p.Burst, p.MinPerSecond, now)}
}

// RecordSuccess adds the Ratio of the policy to the budget. It must be called
// once for each answered request.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.add(b.ratio)
}

// AllowAfterRefusal reports whether the budget allows a retry after a refused
// attempt, and spends its cost if so.
func (b *RetryBudget) AllowAfterRefusal(now time.Time) bool {
	return b.allow(now, retryCostRefusal)
}

// AllowAfterUnknown reports whether the budget allows a retry after an attempt
// that a target may have run, and spends its cost if so.
func (b *RetryBudget) AllowAfterUnknown(now time.Time) bool {
	return b.allow(now, retryCostUnknown)
}

func (b *RetryBudget) allow(now time.Time, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.take(now, cost)
}

package request

import "time"

// tokenBucket is a token bucket that can be filled by events as well as by time.
// A clock that steps back fills nothing.
type tokenBucket struct {
	tokens     float64
	capacity   float64
	perSecond  float64
	refilledAt time.Time
}

func newTokenBucket(capacity, perSecond float64, now time.Time) tokenBucket {
	return tokenBucket{tokens: capacity, capacity: capacity, perSecond: perSecond, refilledAt: now}
}

// add adds tokens of an event, up to the capacity.
func (b *tokenBucket) add(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// refill adds the tokens of the time since the latest moment seen.
func (b *tokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.add(elapsed.Seconds() * b.perSecond)
}

// take removes tokens if there are enough.
func (b *tokenBucket) take(now time.Time, tokens float64) bool {
	b.refill(now)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// timeUntil returns how long it takes until there are enough tokens by time alone.
func (b *tokenBucket) timeUntil(tokens float64) time.Duration {
	if b.tokens >= tokens {
		return 0
	}
	if b.perSecond <= 0 {
		return 0
	}
	seconds := (tokens - b.tokens) / b.perSecond
	return time.Duration(seconds * float64(time.Second))
}

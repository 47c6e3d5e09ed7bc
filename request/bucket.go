package request

import "time"

// tokenBucket is a token bucket that can be refilled by events as well as by
// time. It is not safe for concurrent use. If the clock steps back, no tokens
// are added until the clock passes the latest time seen.
type tokenBucket struct {
	tokens     float64
	capacity   float64
	perSecond  float64
	refilledAt time.Time
}

// newTokenBucket returns a full bucket that refills at perSecond tokens per second.
func newTokenBucket(capacity, perSecond float64, now time.Time) tokenBucket {
	return tokenBucket{tokens: capacity, capacity: capacity, perSecond: perSecond, refilledAt: now}
}

// add adds tokens up to the capacity.
func (b *tokenBucket) add(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// refill adds the tokens for the time elapsed since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.add(elapsed.Seconds() * b.perSecond)
}

// take refills the bucket and removes the tokens if there are enough. It
// reports whether it removed them.
func (b *tokenBucket) take(now time.Time, tokens float64) bool {
	b.refill(now)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// timeUntil returns how long it takes until refills over time provide the
// tokens. It returns 0 if they are available already, and also if the bucket
// doesn't refill over time.
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

package request

import "time"

// bucket is a token bucket that can be filled by events as well as by time.
// A clock that steps back fills nothing.
type bucket struct {
	tokens    float64
	capacity  float64
	perSecond float64
	last      time.Time
}

func newBucket(capacity, perSecond float64, now time.Time) bucket {
	return bucket{tokens: capacity, capacity: capacity, perSecond: perSecond, last: now}
}

// fill adds tokens of an event, up to the capacity.
func (b *bucket) fill(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// advance adds the tokens of the time since the latest moment seen.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.fill(elapsed.Seconds() * b.perSecond)
}

// take removes tokens if there are enough.
func (b *bucket) take(now time.Time, tokens float64) bool {
	b.advance(now)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// wait returns how long it takes until there are enough tokens by time alone.
func (b *bucket) wait(tokens float64) time.Duration {
	if b.tokens >= tokens {
		return 0
	}
	if b.perSecond <= 0 {
		return 0
	}
	seconds := (tokens - b.tokens) / b.perSecond
	return time.Duration(seconds * float64(time.Second))
}

package request

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareKey identifies an organisation and service whose requests share limits
// at an ingress, or compete as one caller for a fair share of a target.
type ShareKey struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
}

// Limits bounds the requests of one ShareKey at one ingress. A limit of zero
// means that there is none.
type Limits struct {
	// MaxInFlight is how many requests may be in flight at once.
	MaxInFlight int `json:"max_in_flight"`
	// RatePerSecond is how many requests may start per second on average.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is the capacity of the token bucket of the rate limit. With a rate
	// limit, a value below 1 counts as 1.
	Burst int `json:"burst"`
}

// LimitReason is the limit that rejected a request.
type LimitReason string

const (
	// LimitInFlight means that MaxInFlight requests are in flight already.
	LimitInFlight LimitReason = "in-flight limit"
	// LimitRate means that RatePerSecond and Burst are exceeded.
	LimitRate LimitReason = "rate limit"
)

// LimitError is the error for a request that exceeds its limits. The request
// was not run.
type LimitError struct {
	Key    ShareKey
	Reason LimitReason
	// RetryAfter is how long it takes until the rate limit allows another
	// request. It is 0 if the rate limit was not exceeded.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	return "limit " + e.Key.Organisation + "/" + e.Key.Service + ": " + string(e.Reason)
}

// limiterShards is the number of shards of a Limiter. Each has its own lock.
const limiterShards = 32

// Limiter enforces the limits of all organisations and services at one ingress.
// It is safe for concurrent use.
type Limiter struct {
	shards [limiterShards]limiterShard
}

type limiterShard struct {
	mu     sync.Mutex
	states map[ShareKey]*limitState
}

// limitState is the state of one key. It is removed from its shard once the
// configuration has no limits for the key and no request is in flight.
type limitState struct {
	limits   Limits
	inFlight int
	rate     tokenBucket
	removed  bool
}

// NewLimiter returns a limiter without any limits.
func NewLimiter() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].states = make(map[ShareKey]*limitState)
	}
	return l
}

// SetLimits replaces all limits with those of a new configuration version.
// Requests in flight remain counted, and an unchanged rate limit keeps its
// token bucket.
func (l *Limiter) SetLimits(limits map[ShareKey]Limits, now time.Time) {
	for key, limit := range limits {
		l.shard(key).setLimits(key, limit, now)
	}
	for i := range l.shards {
		l.shards[i].removeMissing(limits)
	}
}

// Acquire admits a request and counts it as in flight, or returns an error if a
// limit is exceeded. Release must be called once for each admitted request.
func (l *Limiter) Acquire(key ShareKey, now time.Time) *LimitError {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[key]
	if state == nil {
		state = &limitState{removed: true}
		s.states[key] = state
	}
	if state.limits.MaxInFlight > 0 && state.inFlight >= state.limits.MaxInFlight {
		return &LimitError{Key: key, Reason: LimitInFlight}
	}
	if state.limits.RatePerSecond > 0 && !state.rate.take(now, 1) {
		return &LimitError{Key: key, Reason: LimitRate, RetryAfter: state.rate.timeUntil(1)}
	}
	state.inFlight++
	return nil
}

// Release ends a request that Acquire admitted.
func (l *Limiter) Release(key ShareKey) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[key]
	if state == nil || state.inFlight == 0 {
		return
	}
	state.inFlight--
	s.deleteIfUnused(key, state)
}

// InFlight returns how many requests of the key are in flight.
func (l *Limiter) InFlight(key ShareKey) int {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[key]; state != nil {
		return state.inFlight
	}
	return 0
}

func (l *Limiter) shard(key ShareKey) *limiterShard {
	hash := xxhash.Sum64String(key.Organisation) ^ xxhash.Sum64String(key.Service)
	return &l.shards[hash%limiterShards]
}

func (s *limiterShard) setLimits(key ShareKey, limits Limits, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits.RatePerSecond > 0 {
		limits.Burst = max(limits.Burst, 1)
	}
	state := s.states[key]
	if state == nil {
		state = &limitState{}
		s.states[key] = state
	}
	state.removed = false
	if state.limits.RatePerSecond != limits.RatePerSecond || state.limits.Burst != limits.Burst {
		state.rate = newTokenBucket(float64(limits.Burst), limits.RatePerSecond, now)
	}
	state.limits = limits
}

// removeMissing removes the limits of keys that are not in the configured ones.
func (s *limiterShard) removeMissing(configured map[ShareKey]Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, state := range s.states {
		if _, ok := configured[key]; ok {
			continue
		}
		state.limits = Limits{}
		state.removed = true
		s.deleteIfUnused(key, state)
	}
}

// deleteIfUnused deletes a state without limits and without requests in flight.
func (s *limiterShard) deleteIfUnused(key ShareKey, state *limitState) {
	if state.removed && state.inFlight == 0 {
		delete(s.states, key)
	}
}

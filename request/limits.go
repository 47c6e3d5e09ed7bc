package request

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareKey names whose requests are counted together.
type ShareKey struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
}

// Limits bounds the requests of one ShareKey at one ingress. Zero means no bound.
type Limits struct {
	// MaxInFlight is how many requests may run at once.
	MaxInFlight int `json:"max_in_flight"`
	// RatePerSecond is how many requests may start a second.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is how many unused starts are kept. At least 1 when there is a rate.
	Burst int `json:"burst"`
}

// LimitReason tells which limit refused a request.
type LimitReason string

const (
	// LimitInFlight means that too many requests run.
	LimitInFlight LimitReason = "in-flight limit"
	// LimitRate means that too many requests started.
	LimitRate LimitReason = "rate limit"
)

// LimitError is the error of a request over its limits. It was not run.
type LimitError struct {
	Key    ShareKey
	Reason LimitReason
	// RetryAfter is how long it takes until the rate allows a request, or 0.
	RetryAfter time.Duration
}

// Error implements error.
func (r *LimitError) Error() string {
	return "limit " + r.Key.Organisation + "/" + r.Key.Service + ": " + string(r.Reason)
}

// limiterShards is how many locks the limiter has.
const limiterShards = 32

// Limiter holds the limits of every organisation and service at one ingress.
type Limiter struct {
	shards [limiterShards]limiterShard
}

type limiterShard struct {
	mu     sync.Mutex
	states map[ShareKey]*limitState
}

type limitState struct {
	limits   Limits
	inFlight int
	rate     tokenBucket
	removed  bool
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].states = make(map[ShareKey]*limitState)
	}
	return l
}

// SetLimits puts the limits of a configuration version in force. Requests in
// flight stay counted. A rate that stays the same keeps its bucket.
func (l *Limiter) SetLimits(limits map[ShareKey]Limits, now time.Time) {
	for key, limit := range limits {
		l.shard(key).setLimits(key, limit, now)
	}
	for i := range l.shards {
		l.shards[i].removeMissing(limits)
	}
}

// Acquire counts a request in, or refuses it. An admitted request must be
// counted out by Release.
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

// Release counts an admitted request out.
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

// InFlight returns how many requests of the key run.
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

// removeMissing lifts the limits of keys that the new version doesn't name.
func (s *limiterShard) removeMissing(named map[ShareKey]Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, state := range s.states {
		if _, ok := named[key]; ok {
			continue
		}
		state.limits = Limits{}
		state.removed = true
		s.deleteIfUnused(key, state)
	}
}

func (s *limiterShard) deleteIfUnused(key ShareKey, state *limitState) {
	if state.removed && state.inFlight == 0 {
		delete(s.states, key)
	}
}

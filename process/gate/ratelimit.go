package gate

import (
	"math"
	"time"
)

const (
	// minRequestRate is the least rate, in requests a second, at which requests go to a
	// target that names a lower limit. Its responses show when the limit ends.
	minRequestRate = 0.5
	// requestBurst is the number of requests beyond the rate that may be sent at once
	// after a pause.
	requestBurst = 2
	// limitProbeInterval is the time without requests after which a target with a limit
	// is offered as one without.
	limitProbeInterval = time.Second
)

// requestLimiter limits the requests to a target to the rate that it names, with a token
// bucket.
type requestLimiter struct {
	// rate is in requests a second. Zero means no limit.
	rate float64
	// tokens is the number of requests that may be sent as of at.
	tokens float64
	at     time.Time
	// namedAt is when a response last named the limit.
	namedAt time.Time
	// sentAt is when a request was last sent.
	sentAt time.Time
}

// set changes the rate.
func (l *requestLimiter) set(rate float64, now time.Time) {
	if l.rate == 0 {
		l.tokens, l.at = 1, now
	}
	l.refill(now)
	l.rate, l.namedAt = max(rate, minRequestRate), now
}

// refill adds the tokens for the time that went by.
func (l *requestLimiter) refill(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		l.tokens = min(requestBurst, l.tokens+l.rate*passed.Seconds())
		l.at = now
	}
}

// allows reports whether a request may be sent now.
func (l *requestLimiter) allows(now time.Time) bool { return l.delay(0, now) == 0 }

// take counts a request that is sent.
func (l *requestLimiter) take(now time.Time) {
	if l.rate > 0 {
		l.refill(now)
		l.tokens--
		l.sentAt = now
	}
}

// delay returns the time until a request may be sent that has ahead others before it.
func (l *requestLimiter) delay(ahead int, now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	return max(0, time.Duration(missing/l.rate*float64(time.Second)))
}

// ApplyRequestLimit records what the target stated in its response to a request that was
// sent at the given time: a limit for all requests, in requests a second, or that there
// is none. A response to a request that was sent before the limit was named may be older
// than that, so it does not end the limit.
func (g *Gate) ApplyRequestLimit(perSecond float64, limited bool, sentAt, now time.Time) {
	switch {
	case limited:
		g.limiter.set(perSecond, now)
	case sentAt.After(g.limiter.namedAt):
		g.limiter = requestLimiter{}
	}
	g.dispatch(now)
}

// advertisedSlots returns the number of slots by which senders choose among targets. At a
// target that names a limit it is twice the number of requests that run at once at that
// rate, since arrivals are uneven; or all, if no request came for limitProbeInterval, so
// that one comes and its response shows whether the limit still holds.
func (g *Gate) advertisedSlots(now time.Time) int {
	limit := g.Limit()
	if g.limiter.rate == 0 || now.Sub(g.limiter.sentAt) >= limitProbeInterval {
		return limit
	}
	runTime := g.meanRunTime
	if runTime == 0 {
		runTime = defaultRunTime.Seconds()
	}
	return max(1, min(limit, int(math.Ceil(2*g.limiter.rate*runTime))))
}

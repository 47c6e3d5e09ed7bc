package gateway

import (
	"sync"
	"time"
)

// storeOutage counts the calls to the store that fail in a row. It is safe for concurrent
// use.
type storeOutage struct {
	mu      sync.Mutex
	current endedOutage
	// startedAt and failedAt are the times of the first and of the latest failed call.
	startedAt, failedAt time.Time
}

// endedOutage describes an outage of the store, as the calls of this node show it. It is
// zero if no call failed.
type endedOutage struct {
	// failures is the number of failed calls.
	failures int
	// duration is the time between the first failed call and the end, and sinceFailure
	// that between the latest failed call and the end, in which the node made no call or
	// waited for the response to one.
	duration, sinceFailure time.Duration
}

// record adds the result of a call. It returns the outage that a successful call ends.
func (o *storeOutage) record(succeeded bool, now time.Time) endedOutage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !succeeded {
		if o.current.failures == 0 {
			o.startedAt = now
		}
		o.current.failures++
		o.failedAt = now
		return endedOutage{}
	}
	ended := o.current
	o.current = endedOutage{}
	if ended.failures > 0 {
		ended.duration, ended.sinceFailure = now.Sub(o.startedAt), now.Sub(o.failedAt)
	}
	return ended
}

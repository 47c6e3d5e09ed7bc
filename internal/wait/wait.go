// Package wait provides waits that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d, and returns false if the context ends first. If d
// is not positive, it returns at once and reports whether the context is active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f with the current time once per period until the context ends. The
// first call is after one period. Ticks during a call of f may be dropped.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	onTicks(ctx, ticker.C, f)
}

// onTicks calls f with the current time at each tick until the context ends. The time of a
// tick may be later than that of the next one, if the process was held up meanwhile.
func onTicks(ctx context.Context, ticks <-chan time.Time, f func(now time.Time)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			f(time.Now())
		}
	}
}

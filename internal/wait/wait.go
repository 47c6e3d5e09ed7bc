// Package wait has the waits that everything with a context needs.
package wait

import (
	"context"
	"time"
)

// For waits for d, and reports false when the context ended first. A wait that
// is not positive only looks whether the context still lasts.
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

// Every calls f with the time, once a period, until the context ends.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

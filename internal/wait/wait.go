// Package wait has the one wait that everything with a context needs.
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

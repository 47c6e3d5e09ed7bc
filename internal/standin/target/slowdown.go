package target

import (
	"context"
	"time"
)

// slowdown describes how much longer work takes at present.
type slowdown struct {
	// factor multiplies the duration of work.
	factor float64
	// until is when the slowdown ends by itself. Zero means that no end is known.
	until time.Time
	// changed is closed when a Control is applied.
	changed <-chan struct{}
}

// simulateWork waits as long as the work takes. A slowdown also applies to work
// that began before it, and its end to work that is still running. simulateWork
// reports whether the work was done before the context ended.
func (t *Target) simulateWork(ctx context.Context, work time.Duration) bool {
	for work > 0 {
		began := time.Now()
		current := t.currentSlowdown(began)
		if !current.wait(ctx, began, work) {
			return false
		}
		work -= time.Duration(float64(time.Since(began)) / current.factor)
	}
	return true
}

// wait waits until the work is done or the slowdown changes. It returns false if
// the context ends first.
func (s slowdown) wait(ctx context.Context, began time.Time, work time.Duration) bool {
	needed := time.Duration(float64(work)*s.factor) + 1
	if !s.until.IsZero() {
		needed = min(needed, s.until.Sub(began))
	}
	timer := time.NewTimer(needed)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) currentSlowdown(now time.Time) slowdown {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := slowdown{factor: 1, changed: t.faults.changed}
	if now.Before(t.faults.slowUntil) {
		s.factor = t.faults.slowFactor
		s.until = t.faults.slowUntil
	}
	return s
}

package target

import (
	"context"
	"time"
)

// slowdown is how quickly work advances at present.
type slowdown struct {
	// factor is how many times longer than usual work takes.
	factor float64
	// until is when the slowness ends by itself. Zero means not foreseen.
	until time.Time
	// changed is closed when a control changes the pace.
	changed <-chan struct{}
}

// simulateWork takes as long as the work needs at the pace of each moment: a
// slowdown also meets the work that has begun before, and ends for all work at
// once. It reports whether the work was done before the context ended.
func (t *Target) simulateWork(ctx context.Context, work time.Duration) bool {
	for work > 0 {
		began := time.Now()
		now := t.currentSlowdown(began)
		if !now.wait(ctx, began, work) {
			return false
		}
		work -= time.Duration(float64(time.Since(began)) / now.factor)
	}
	return true
}

// wait waits until the work is done or the pace changes. It returns false when
// the context ends first.
func (p slowdown) wait(ctx context.Context, began time.Time, work time.Duration) bool {
	needed := time.Duration(float64(work)*p.factor) + 1
	if !p.until.IsZero() {
		needed = min(needed, p.until.Sub(began))
	}
	timer := time.NewTimer(needed)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) currentSlowdown(now time.Time) slowdown {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := slowdown{factor: 1, changed: t.faults.changed}
	if now.Before(t.faults.slowUntil) {
		p.factor = t.faults.slowFactor
		p.until = t.faults.slowUntil
	}
	return p
}

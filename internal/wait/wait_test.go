package wait

import (
	"context"
	"testing"
	"time"
)

func TestEveryCallsUntilTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	const calls = 3
	began, seen := time.Now(), 0
	last := began
	Every(ctx, time.Millisecond, func(now time.Time) {
		if !now.After(last) {
			t.Errorf("call %d at %s, the one before at %s", seen, now, last)
		}
		last = now
		if seen++; seen == calls {
			cancel()
		}
	})
	// A tick that came at the same time as the end may still be taken.
	if seen < calls || seen > calls+1 {
		t.Errorf("%d calls", seen)
	}
}

package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// Guards against admission above the concurrency limit, with random arrivals,
// ends and cold starts.
func TestConcurrencyLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := capacity{slots: 8, queueLength: 4, coldLimit: 2, warmupResponses: 20, stallTime: time.Second}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			before, limit, warm, stalled := c.inFlight, c.concurrencyLimit(), c.warm(), c.stalled(now)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				c.turnCold(now, 0)
			case 1, 2, 3, 4:
				if c.inFlight > 0 {
					c.finish(true)
				}
			default:
				got := c.admit(now)
				if got == admitted && (stalled || (!warm && before >= limit) || before >= 12) {
					t.Fatalf("admitted with %d in flight, limit %d, stalled %t", before, limit, stalled)
				}
				if got == overloaded && (stalled || warm || before < limit || !c.stalled(now) || c.warm()) {
					t.Fatalf("collapsed with %d in flight, limit %d", before, limit)
				}
			}
			if c.concurrencyLimit() < c.coldLimit || c.concurrencyLimit() > c.slots {
				t.Fatalf("limit %d", c.concurrencyLimit())
			}
		}
	})
}

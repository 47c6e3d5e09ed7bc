package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// TestCapacityNeverBearsMore drives a capacity with random arrivals and ends.
func TestCapacityNeverBearsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := capacity{slots: 8, queueLength: 4, coldLimit: 2, warmupResponses: 20, stallTime: time.Second}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			before, bears, warm, stalled := c.inFlight, c.concurrencyLimit(), c.warm(), c.stalled(now)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				c.turnCold(now, 0)
			case 1, 2, 3, 4:
				if c.inFlight > 0 {
					c.finish(true)
				}
			default:
				got := c.admit(now)
				if got == admitted && (stalled || (!warm && before >= bears) || before >= 12) {
					t.Fatalf("runs one more beside %d, bears %d, stalled %t", before, bears, stalled)
				}
				if got == overloaded && (stalled || warm || before < bears || !c.stalled(now) || c.warm()) {
					t.Fatalf("falls over at %d, bears %d", before, bears)
				}
			}
			if c.concurrencyLimit() < c.coldLimit || c.concurrencyLimit() > c.slots {
				t.Fatalf("bears %d", c.concurrencyLimit())
			}
		}
	})
}

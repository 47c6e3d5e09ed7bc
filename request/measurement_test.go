package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMeasurementBytesStayWithinBudget checks that separate messages and
// piggybacked data share one bound on bytes, at any rate of requests for either.
func TestMeasurementBytesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := MeasurementPolicy{MessagesPerSecond: 1000, BurstMessages: 1000, BytesPerSecond: 4096, BurstBytes: 2048}
		start := time.Unix(0, 0)
		now := start
		budget := NewMeasurementBudget(policy, now)
		allowed := 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			bytes := rapid.IntRange(0, 600).Draw(t, "bytes")
			spend := budget.AllowPiggyback
			if rapid.Bool().Draw(t, "message") {
				spend = budget.Allow
			}
			if spend(now, bytes) {
				allowed += bytes
			}
			bound := policy.BytesPerSecond*now.Sub(start).Seconds() + float64(policy.BurstBytes)
			if float64(allowed) > bound+1 {
				t.Fatalf("%d bytes after %s, bound %.0f", allowed, now.Sub(start), bound)
			}
		}
		if used := budget.Usage().Bytes; used != int64(allowed) {
			t.Fatalf("the usage counts %d bytes, %d were allowed", used, allowed)
		}
	})
}

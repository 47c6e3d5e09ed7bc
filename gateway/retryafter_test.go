package gateway

import (
	"testing"
	"time"

	"verbenatrestle/process/gate"
)

// A request that no target took was rejected without Retry-After if no refusal named a delay, so
// that its caller came back at once.
func TestRejectionAlwaysHasRetryAfter(t *testing.T) {
	const named = 90 * time.Millisecond
	for _, test := range []struct {
		name       string
		last, want time.Duration
		earlier    time.Duration
	}{
		{name: "no refusal names a delay", want: noTargetRetryAfter},
		{name: "the last refusal names one", last: named, want: named},
		{name: "an earlier refusal names one", earlier: named, want: named},
	} {
		d := &dispatch{retryAfter: test.earlier}
		result := refusedResult(string(gate.RefusedRetryBudget), test.last)
		if got := d.failure(&result).RetryAfter; got != test.want {
			t.Errorf("%s: Retry-After %v, want %v", test.name, got, test.want)
		}
	}
}

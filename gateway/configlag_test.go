package gateway

import (
	"testing"
	"time"
)

// The log has to show whether a node was late because it could not get a configuration
// that it knew of. The time counts from the first number above the active one, also if
// further ones follow before the first is fetched.
func TestConfigLagCountsFromTheFirstNewerNumber(t *testing.T) {
	var lag configLag
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	if d, n := lag.activated(3, at(0)); d != 0 || n != 0 {
		t.Fatalf("the first configuration: %v, %d failures", d, n)
	}
	lag.received(3, 3, at(10))
	lag.received(5, 3, at(100))
	lag.fetchFailed()
	lag.received(7, 3, at(300))
	if lag.newestKnown() != 7 {
		t.Fatalf("newest %d", lag.newestKnown())
	}
	if d, n := lag.activated(5, at(400)); d != 300*time.Millisecond || n != 1 {
		t.Fatalf("%v, %d failures", d, n)
	}
	if d, n := lag.activated(7, at(450)); d != 50*time.Millisecond || n != 0 {
		t.Fatalf("the next one: %v, %d failures", d, n)
	}
	if d, _ := lag.activated(9, at(900)); d != 0 {
		t.Fatalf("learnt by its text: %v", d)
	}
}

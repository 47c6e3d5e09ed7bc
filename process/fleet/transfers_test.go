package fleet

import (
	"testing"
	"time"
)

// Many nodes ask the first holder of a configuration at once. It must send to a few of
// them at a time, and receivers that stopped reading must not block it for long.
func TestTransferLimiterFreesPlaces(t *testing.T) {
	limiter := NewTransferLimiter(2, time.Second)
	first, ok := limiter.Begin(0, start)
	second, ok2 := limiter.Begin(0, start)
	if !ok || !ok2 || first == second {
		t.Fatalf("%d %t, %d %t", first, ok, second, ok2)
	}
	if _, ok := limiter.Begin(0, start.Add(900*time.Millisecond)); ok {
		t.Fatal("a third transfer")
	}
	limiter.End(first)
	limiter.End(first)
	third, ok := limiter.Begin(0, start.Add(950*time.Millisecond))
	if !ok {
		t.Fatal("no place after the end of a transfer")
	}
	if _, ok := limiter.Begin(0, start.Add(950*time.Millisecond)); ok {
		t.Fatal("a transfer that ended twice frees two places")
	}
	if _, ok := limiter.Begin(0, start.Add(time.Second)); !ok {
		t.Fatal("a receiver that does not read holds its place")
	}
	limiter.End(second)
	if _, ok := limiter.Begin(0, start.Add(time.Second)); ok {
		t.Fatal("the late end of a transfer that no longer counts frees a place")
	}
	limiter.End(third)
	if _, ok := limiter.Begin(0, start.Add(time.Second)); !ok {
		t.Fatal("no place")
	}
}

// The kernel takes the text of a configuration into its buffers at once, so the sender
// learns of the end of each transfer before the link has carried it. The place has to
// stay taken for as long as the link needs.
func TestTransferCountsWhileTheLinkCarriesIt(t *testing.T) {
	const needed = 50 * time.Millisecond
	limiter := NewTransferLimiter(2, time.Second)
	for range 2 {
		id, ok := limiter.Begin(needed, start)
		if !ok {
			t.Fatal("no place")
		}
		limiter.End(id)
	}
	if _, ok := limiter.Begin(needed, start.Add(needed-time.Millisecond)); ok {
		t.Fatal("a third transfer while the link carries two")
	}
	if _, ok := limiter.Begin(needed, start.Add(needed)); !ok {
		t.Fatal("no place after the link has carried them")
	}
}

package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

const usualLatency = 10 * time.Millisecond

// observeWindows feeds a limit with full windows of requests that use it fully.
func observeWindows(l Limit, windows int, latency time.Duration, dropped bool) {
	for range windows * windowSize {
		l.Observe(Observation{Latency: latency, InFlight: l.Value(), Dropped: dropped})
	}
}

func TestLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Min: rapid.IntRange(-1, 10).Draw(t, "min"), Max: rapid.IntRange(-1, 50).Draw(t, "max")}
		l, err := New(rapid.SampledFrom(Names()).Draw(t, "name"), b)
		if err != nil {
			t.Fatal(err)
		}
		lowest := max(b.Min, 1)
		highest := max(b.Max, lowest)
		for range rapid.IntRange(1, 60).Draw(t, "windows") {
			latency := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "latency"))
			observeWindows(l, 1, latency, rapid.IntRange(0, 3).Draw(t, "drop") == 0)
			if l.Value() < lowest || l.Value() > highest {
				t.Fatalf("%s: %d is not between %d and %d", l.Name(), l.Value(), lowest, highest)
			}
		}
	})
}

func TestLimitsAdaptToTarget(t *testing.T) {
	for _, name := range []string{"aimd", "gradient", "vegas"} {
		l, err := New(name, Bounds{Min: 2, Max: 20})
		if err != nil {
			t.Fatal(err)
		}
		observeWindows(l, 20, usualLatency, false)
		if l.Value() != 20 {
			t.Errorf("%s: %d at the usual latency, want 20", name, l.Value())
		}
		observeWindows(l, 10, 8*usualLatency, false)
		if l.Value() > 10 {
			t.Errorf("%s: %d after ten windows at 8 times the latency", name, l.Value())
		}
		observeWindows(l, 60, usualLatency, false)
		if l.Value() != 20 {
			t.Errorf("%s: %d after sixty windows at the usual latency, want 20", name, l.Value())
		}
		observeWindows(l, 10, usualLatency, true)
		if l.Value() > 10 {
			t.Errorf("%s: %d after ten windows of shed requests", name, l.Value())
		}
	}
}

func TestNewAcceptsAllNames(t *testing.T) {
	for _, name := range Names() {
		if l, err := New(name, Bounds{Max: 5}); err != nil || l.Name() != name || l.Value() != 5 {
			t.Errorf("New(%q) = %v, %v", name, l, err)
		}
	}
	if _, err := New("best", Bounds{}); err == nil {
		t.Error("New accepted an unknown name")
	}
}

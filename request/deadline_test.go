package request

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

var start = time.Unix(1_800_000_000, 0)

func TestParseTimeout(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"1", time.Millisecond},
		{"250", 250 * time.Millisecond},
		{"600000", MaxTimeout},
		{"", 0},
		{"0", 0},
		{"-5", 0},
		{"+5", 0},
		{"1.5", 0},
		{"10s", 0},
		{" 10", 0},
		{"600001", 0},
		{"99999999999999999999", 0},
	}
	for _, tt := range tests {
		got, err := ParseTimeout(tt.header)
		if got != tt.want || (tt.want == 0) != errors.Is(err, ErrTimeout) {
			t.Errorf("ParseTimeout(%q) = %v, %v; want %v", tt.header, got, err, tt.want)
		}
	}
}

// Each hop gets less time than the one before it, and never more than the
// caller and the route allow.
func TestDeadlineShrinksHopByHop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requested := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "asked")) * time.Millisecond
		routeTimeout := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "route")) * time.Millisecond
		now, header := start, FormatTimeout(requested)
		remaining := min(requested, routeTimeout)
		for range 11 {
			d, err := NewDeadline(now, header, routeTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if d.Remaining(now) > remaining {
				t.Fatalf("hop has %v remaining, want at most %v", d.Remaining(now), remaining)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3_000_000).Draw(t, "work ns")))
			next, ok := d.NextHop(now)
			if !ok {
				return
			}
			if d.Expired(now) {
				t.Fatal("an expired request is forwarded")
			}
			header = next
			remaining = d.Remaining(now) - HopMargin
		}
	})
}

func TestFingerprintSeparatesParts(t *testing.T) {
	a := NewFingerprint("GET", "/a", []byte("b"))
	if a != NewFingerprint("GET", "/a", []byte("b")) {
		t.Error("equal requests have different fingerprints")
	}
	for _, other := range []Fingerprint{
		NewFingerprint("GET", "/ab", nil),
		NewFingerprint("GET/a", "", []byte("b")),
		NewFingerprint("GET", "/a", []byte("c")),
		NewFingerprint("PUT", "/a", []byte("b")),
		KeyFingerprint("/a", "b"),
	} {
		if a == other {
			t.Errorf("different requests have the same fingerprint %v", a)
		}
	}
}

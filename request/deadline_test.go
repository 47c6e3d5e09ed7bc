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

// Each hop gets less than the one before, and never more than caller and
// route allow.
func TestDeadlineShrinksHopByHop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "asked")) * time.Millisecond
		route := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "route")) * time.Millisecond
		now, header := start, FormatTimeout(asked)
		left := min(asked, route)
		for range 11 {
			d, err := NewDeadline(now, header, route)
			if err != nil {
				t.Fatal(err)
			}
			if d.Remaining(now) > left {
				t.Fatalf("hop has %v, more than %v", d.Remaining(now), left)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3_000_000).Draw(t, "work ns")))
			next, ok := d.NextHop(now)
			if !ok {
				return
			}
			if d.Expired(now) {
				t.Fatal("an expired request is sent on")
			}
			header = next
			left = d.Remaining(now) - HopMargin
		}
	})
}

func TestFingerprintKeepsPartsApart(t *testing.T) {
	a := NewFingerprint("GET", "/a", []byte("b"))
	if a != NewFingerprint("GET", "/a", []byte("b")) {
		t.Error("equal requests differ")
	}
	for _, other := range []Fingerprint{
		NewFingerprint("GET", "/ab", nil),
		NewFingerprint("GET/a", "", []byte("b")),
		NewFingerprint("GET", "/a", []byte("c")),
		NewFingerprint("PUT", "/a", []byte("b")),
		KeyFingerprint("/a", "b"),
	} {
		if a == other {
			t.Errorf("different requests share %v", a)
		}
	}
}

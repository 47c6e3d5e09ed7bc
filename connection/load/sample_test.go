package load

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

func TestHeaderCarriesSample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Sample{
			InFlight: rapid.IntRange(0, 1<<20).Draw(t, "in flight"),
			Limit:    rapid.IntRange(0, 1<<20).Draw(t, "limit"),
			Latency:  time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "micros")) * time.Microsecond,
			State:    State(rapid.IntRange(0, int(stateCount)-1).Draw(t, "state")),
		}
		got, err := Parse(s.HeaderValue())
		if err != nil || got != s {
			t.Fatalf("%q gives %+v, %v, not %+v", s.HeaderValue(), got, err, s)
		}
	})
}

func TestParseRefuses(t *testing.T) {
	for _, header := range []string{
		"", "1", "1/2/3", "1/2/3/", "1/2/3/4/5", "1/2/3/4x", "-1/2/3/1", "1/-2/3/1", "1/2/-3/1", "1/2/3/6",
		"1/2/3/256", "a/2/3/1", " 1/2/3/1", "99999999999/2/3/1", "+1/2/3/1", "1/2/99999999999999999999/1",
	} {
		if s, err := Parse(header); err == nil {
			t.Errorf("%q gives %+v", header, s)
		}
	}
}

func BenchmarkHeader(b *testing.B) {
	s := Sample{InFlight: 7, Limit: 20, Latency: 5 * time.Millisecond, State: Warm}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(s.HeaderValue()); err != nil {
			b.Fatal(err)
		}
	}
}

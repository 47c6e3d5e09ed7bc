package bench

import (
	"bytes"
	"strings"
	"testing"

	"verbenatrestle/internal/standin/load"
	"verbenatrestle/internal/standin/target"
)

func round(policy string, p99 float64, overruns int) Round {
	var r Round
	r.Scenario = Overload
	r.Policy = policy
	r.Load.All = load.Count{Sent: 100, Answered: 80, NotRun: 20, Latency: load.Latency{P99: p99}}
	r.Load.RefusalLatency.P99 = 4
	for _, answered := range []int{10, 90, 110, 5} {
		r.Load.Seconds = append(r.Load.Seconds, load.Second{Count: load.Count{Answered: answered}})
	}
	r.Stats.Capacity = 200
	r.Stats.Targets = []target.Stats{{PeakInFlight: 7, Overruns: overruns}, {PeakInFlight: 9}}
	return r
}

func TestRatioLine(t *testing.T) {
	rounds := []Round{round(DefaultPolicy, 10, 1), round("roundrobin", 40, 0), round(DefaultPolicy, 30, 2), round("plain", 80, 0), round("oracle", 16, 0)}
	var out bytes.Buffer
	PrintTables(&out, Summarise(rounds), []string{"plain", "roundrobin", DefaultPolicy, "oracle"}, Fleet{Slots: 9})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := "ratio overload p99 ours/roundrobin=0.50 ours/plain=0.25 ours/oracle=1.25 goodput/capacity=0.500 refusal_p99_ms=4.00 overruns=3"
	if got := lines[len(lines)-1]; got != want {
		t.Errorf("got %q", got)
	}
	if !strings.Contains(out.String(), "9/9") {
		t.Errorf("no peak of 9 in 9 slots in:\n%s", out.String())
	}
}

func TestCountersAreSummed(t *testing.T) {
	sums := make(map[string]float64)
	addMetrics(sums, []byte("# TYPE a counter\na 3\nb{quantile=\"0.5\"} 1e3\n"))
	addMetrics(sums, []byte("a 4\n"))
	if sums["a"] != 7 || sums[`b{quantile="0.5"}`] != 1000 {
		t.Errorf("got %v", sums)
	}
}

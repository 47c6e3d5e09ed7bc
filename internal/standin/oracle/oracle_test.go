package oracle_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/standin/oracle"
)

func TestOracleKeepsLatestReport(t *testing.T) {
	server := oracle.NewServer()
	for _, sequence := range []int64{1, 3, 2} {
		sample := load.Sample{InFlight: int(sequence), Limit: 20, Latency: time.Millisecond, State: load.Warm}
		report := oracle.Report{Node: "kochi-a-1", Sequence: sequence, Sample: sample}
		parsed, err := oracle.ParseReport(report.String())
		if err != nil || parsed != report {
			t.Fatalf("sent %v, read %v, %v", report, parsed, err)
		}
		server.Record(parsed)
	}
	w := httptest.NewRecorder()
	server.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	if got := strings.TrimSpace(w.Body.String()); got != `{"kochi-a-1":"3/20/1000/2"}` {
		t.Fatalf("got %s", got)
	}
}

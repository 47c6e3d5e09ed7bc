package load

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"verbenatrestle/internal/standin/target"
)

// measureOverhead sends lookups to a server that takes the given latency for
// each one and reports the given work time.
func measureOverhead(t *testing.T, latency, reported time.Duration) *Report {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Host != "of-the-class.example" {
			t.Errorf("host %q", r.Host)
		}
		time.Sleep(latency)
		w.Header().Set(target.HeaderWorkMicros, strconv.FormatInt(reported.Microseconds(), 10))
		_, _ = w.Write(target.ResponseBody(r.Method, r.RequestURI, r.Header.Get(target.HeaderNonce), nil, 8))
	}))
	defer server.Close()
	report, err := Run(t.Context(), Config{
		Ingresses: []string{"127.0.0.1:1"},
		Mix: Mix{Host: "of-the-mix.example", Classes: []Class{{
			Name:          "lookup",
			Weight:        1,
			Method:        http.MethodGet,
			Path:          "/{id}",
			ResponseBytes: 8,
			Host:          "of-the-class.example",
			Ingresses:     []string{strings.TrimPrefix(server.URL, "http://")},
		}}},
		Rate:     200,
		Duration: 100 * time.Millisecond,
	})
	if err != nil || report.All.Answered == 0 || report.All.Answered != report.All.Sent {
		t.Fatalf("report %+v, %v", report, err)
	}
	return report
}

func TestOverheadIsLatencyLessWorkTime(t *testing.T) {
	const latency = 20 * time.Millisecond
	if got := measureOverhead(t, latency, 0).Classes["lookup"].Overhead.P50; got < 20 {
		t.Errorf("overhead %v ms with a work time of zero", got)
	}
	if got := measureOverhead(t, latency, time.Hour).Classes["lookup"].Overhead.Max; got > 0.001 {
		t.Errorf("overhead %v ms with a work time above the latency", got)
	}
}

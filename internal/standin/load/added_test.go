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

// addedBy drives lookups at a server that takes `takes` for each and says that
// the work took `says`.
func addedBy(t *testing.T, takes, says time.Duration) *Report {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Host != "of-the-class.example" {
			t.Errorf("host %q", r.Host)
		}
		time.Sleep(takes)
		w.Header().Set(target.HeaderWorkMicros, strconv.FormatInt(says.Microseconds(), 10))
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

func TestAddedIsLatencyLessWork(t *testing.T) {
	const takes = 20 * time.Millisecond
	if got := addedBy(t, takes, 0).Classes["lookup"].Overhead.P50; got < 20 {
		t.Errorf("added %v ms when the work took nothing", got)
	}
	if got := addedBy(t, takes, time.Hour).Classes["lookup"].Overhead.Max; got > 0.001 {
		t.Errorf("added %v ms when all was work", got)
	}
}

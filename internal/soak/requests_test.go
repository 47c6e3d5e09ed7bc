package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// runAtTarget returns the record of a run of one request at a target.
func runAtTarget(t *testing.T, method, uri, body string) RunRecord {
	t.Helper()
	target := standin.NewTarget(standin.TargetOptions{Slots: 1})
	r := httptest.NewRequest(method, uri, strings.NewReader(body))
	r.Header.Set(platform.HeaderRequestID, "r")
	r.Header.Set(platform.HeaderOrganisation, "o")
	target.ServeHTTP(httptest.NewRecorder(), r)
	runs := target.Runs()
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	return NewRunRecord(&runs[0], "i", "s", time.Time{})
}

// Guards against a node that changes the method of a request whose response is lost: the records of
// targets named POST whatever arrived, so only the response could show the change.
func TestChangedMethodIsSeenWithoutResponse(t *testing.T) {
	for method, want := range map[string]string{http.MethodPost: "", http.MethodPut: "changed", http.MethodGet: "changed"} {
		callers, runs := recoveryRecords()
		callers = append(callers, CallerRecord{ID: "r", ExpectedBody: "POST /s/1?a=%2F x", Key: KeyLasting, Organisation: "o"})
		checkViolations(t, method, callers, append(runs, runAtTarget(t, method, "/s/1?a=%2F", "x")), want)
	}
}

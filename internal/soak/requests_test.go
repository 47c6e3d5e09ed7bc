package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// Guards against callers whose requests are all alike, so that nodes can change a method, a query or a
// long or chunked body unseen, and against records that differ from what was sent.
func TestCallersSendDifferentRequests(t *testing.T) {
	var mu sync.Mutex
	arrived, seen := make(map[string]string), make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		text := r.Method + " " + r.RequestURI + " " + string(body)
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(platform.HeaderRequestID)
		arrived[id] = text
		kind := fmt.Sprint(r.Method, " chunked=", len(r.TransferEncoding) > 0)
		for name, is := range map[string]bool{"empty": len(body) == 0, "short": len(body) > 0 && len(body) <= shortBody, "long": len(body) > mediumBody} {
			if is {
				seen[kind+" "+name]++
			}
		}
		for _, suffix := range suffixes {
			if suffix != "" && strings.HasSuffix(r.RequestURI, id+suffix) {
				seen[suffix]++
			}
		}
		_, _ = io.WriteString(w, text)
	}))
	defer server.Close()
	var out strings.Builder
	c := Callers{
		Nodes: []string{strings.TrimPrefix(server.URL, "http://")}, Services: []string{"once-a", "s"}, Timeout: 5 * time.Second, IDPrefix: "s", out: &out,
	}
	const requests = 2000
	for i := range requests {
		c.sendRequest(&http.Client{}, i)
	}
	for _, method := range []string{"GET", "POST", "PUT"} {
		for _, kind := range []string{"chunked=false empty", "chunked=false short", "chunked=false long", "chunked=true short", "chunked=true long"} {
			if seen[method+" "+kind] == 0 {
				t.Errorf("no request %s %s", method, kind)
			}
		}
	}
	for _, suffix := range suffixes[1:] {
		if seen[suffix] == 0 {
			t.Errorf("no path ends with %q", suffix)
		}
	}
	checkCallerRecords(t, out.String(), arrived, requests)
}

// checkCallerRecords checks that records hold what arrived at a server, by id, and are small.
func checkCallerRecords(t *testing.T, records string, arrived map[string]string, want int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "told")
	if err := os.WriteFile(path, []byte(records), 0o600); err != nil {
		t.Fatal(err)
	}
	lines, err := readLines[CallerRecord](path)
	if err != nil || len(lines) != want {
		t.Fatalf("%d records, %v", len(lines), err)
	}
	for _, line := range lines {
		if text := summarize(arrived[line.ID]); line.ExpectedBody != text || line.Body != text {
			t.Fatalf("%s arrived as %q, recorded as %q with response %q", line.ID, text, line.ExpectedBody, line.Body)
		}
		if len(line.ExpectedBody) > 2*maxText {
			t.Errorf("a record of %d bytes", len(line.ExpectedBody))
		}
	}
}

// Guards against a summary that hides a change: a byte of a long body that is changed, lost or
// that of another request.
func TestChangedLongBodyIsSeen(t *testing.T) {
	body := uniqueBody("r", longBody)
	other := uniqueBody("q", longBody)
	for name, arrives := range map[string]string{
		"": body, "one byte": body[:longBody-9] + "!" + body[longBody-8:], "cut": body[:longBody-1], "longer": body + "x",
		"another request": body[:longBody/2] + other[longBody/2:], "swapped": body[longBody/2:] + body[:longBody/2],
	} {
		want := "changed"
		if name == "" {
			want = ""
		}
		callers, runs := recoveryRecords()
		sent := message{method: http.MethodPut, path: "/s/1?a", body: body}
		callers = append(callers, CallerRecord{ID: "r", ExpectedBody: summarize(sent.text()), Key: KeyLasting, Organisation: "o"})
		checkViolations(t, name, callers, append(runs, runAtTarget(t, http.MethodPut, "/s/1?a", arrives)), want)
	}
}

// Guards against callers that send a request twice, which would be taken for a fault of a node. The
// server closes each connection after the second request, without a response.
func TestCallersSendEachRequestOnce(t *testing.T) {
	var mu sync.Mutex
	arrived, onConnection := make(map[string]int), make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // an error means that the caller gave up
		mu.Lock()
		arrived[r.Header.Get(platform.HeaderRequestID)]++
		onConnection[r.RemoteAddr]++
		last := onConnection[r.RemoteAddr] > 1
		mu.Unlock()
		if last {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	c := Callers{
		Nodes: []string{strings.TrimPrefix(server.URL, "http://")}, Services: []string{"once-a", "s"}, Timeout: 5 * time.Second, IDPrefix: "s", out: io.Discard,
	}
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for i := range 400 {
		c.sendRequest(client, i)
	}
	mu.Lock()
	defer mu.Unlock()
	for id, times := range arrived {
		if times != 1 {
			t.Errorf("%s arrived %d times", id, times)
		}
	}
	if len(arrived) != 400 {
		t.Errorf("%d requests arrived", len(arrived))
	}
}

// Guards against a node that names another service than that of its settings on all requests, which the
// comparison of the requests of one node can't show.
func TestCallingServiceIsThatOfTheNode(t *testing.T) {
	for caller, want := range map[string]string{"once-a": "", "safe-b": "unasked", "": "unasked", madeUpName: "unasked"} {
		var out strings.Builder
		c := Callers{Nodes: []string{"m", "n"}, NodeServices: []string{"safe-b", "once-a"}, out: &out}
		c.write(&CallerRecord{ID: "r", Node: "n", ExpectedBody: "x", Key: KeyLasting, Organisation: "o"}, time.Now())
		var record CallerRecord
		if err := json.Unmarshal([]byte(out.String()), &record); err != nil {
			t.Fatal(err)
		}
		callers, runs := recoveryRecords()
		run := RunRecord{ID: "r", Request: "x", CallerService: caller, Organisations: []string{"o"}}
		got := strings.Join(CheckRecords(append(callers, record), append(runs, run), 1000).Violations, "; ")
		if want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("%q: %q, want %q", caller, got, want)
		}
	}
}

package load

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenatrestle/internal/standin/target"
	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/request"
)

// faultyHandler injects a fault between the load generator and a target. It
// passes reads of the journal on unchanged.
type faultyHandler struct {
	target http.Handler
	fault  func(to http.Handler, w http.ResponseWriter, r *http.Request)
}

func (h faultyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/journal" {
		h.target.ServeHTTP(w, r)
		return
	}
	h.fault(h.target, w, r)
}

// changeBody returns a fault that changes the body of each response.
func changeBody(change func([]byte) []byte) func(http.Handler, http.ResponseWriter, *http.Request) {
	return func(to http.Handler, w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		to.ServeHTTP(recorder, r)
		body := change(recorder.Body.Bytes())
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body)
	}
}

// runTwice is a fault that runs each filing twice.
func runTwice(to http.Handler, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	to.ServeHTTP(httptest.NewRecorder(), r)
	r.Body = io.NopCloser(bytes.NewReader(body))
	to.ServeHTTP(w, r)
}

// falseNotRun is a fault that runs each request and then responds not-run.
func falseNotRun(to http.Handler, w http.ResponseWriter, r *http.Request) {
	to.ServeHTTP(httptest.NewRecorder(), r)
	w.Header().Set(request.HeaderOutcome, string(request.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// cutFirstAttempt returns a fault that cuts the connection of the first attempt
// of each filing before the filing runs.
func cutFirstAttempt() func(http.Handler, http.ResponseWriter, *http.Request) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(to http.Handler, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		key := r.Header.Get(target.HeaderNonce)
		again := seen[key]
		seen[key] = true
		mu.Unlock()
		if !again {
			panic(http.ErrAbortHandler)
		}
		to.ServeHTTP(w, r)
	}
}

// Guards against a load generator that misses a violated invariant, or that reports
// one although none is violated, as after a lost attempt. Each fault affects every
// operation.
func TestRunDetectsViolations(t *testing.T) {
	noFault := func(to http.Handler, w http.ResponseWriter, r *http.Request) { to.ServeHTTP(w, r) }
	flip := changeBody(func(body []byte) []byte {
		body[len(body)/2] ^= 1
		return body
	})
	cut := changeBody(func(body []byte) []byte { return body[:len(body)-1] })
	cases := []struct {
		name  string
		fault func(http.Handler, http.ResponseWriter, *http.Request)
		// found returns the counter that must include every operation.
		found          func(*Report) int
		wantViolations bool
	}{
		{"nothing", noFault, func(r *Report) int { return r.All.Answered }, false},
		{"a lost attempt", cutFirstAttempt(), func(r *Report) int { return r.All.Answered }, false},
		{"a wrong byte", flip, func(r *Report) int { return r.All.Misrouted }, true},
		{"a missing byte", cut, func(r *Report) int { return r.All.Truncated }, true},
		{"a duplicate execution", runTwice, func(r *Report) int { return r.DuplicateExecutions }, true},
		{"a false not-run", falseNotRun, func(r *Report) int { return r.FalseNotRun }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stand, err := target.New(target.Options{StartWarm: true, Slots: 1000, ServiceTime: time.Microsecond})
			if err != nil {
				t.Fatal(err)
			}
			server := httptest.NewServer(faultyHandler{target: stand.Handler(), fault: c.fault})
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			report, err := Run(t.Context(), Config{
				Ingresses:     []string{address},
				Journals:      []string{address},
				Mix:           filingMix(),
				Rate:          200,
				Duration:      250 * time.Millisecond,
				Timeout:       20 * time.Second,
				MaxAttempts:   2,
				RetryAfterCap: time.Millisecond,
				Duplicates:    -1,
			})
			if err != nil {
				t.Fatal(err)
			}
			if report.All.Sent == 0 || c.found(report) != report.All.Sent || report.HasViolations() != c.wantViolations {
				t.Fatalf("%d operations, %d counted: %s", report.All.Sent, c.found(report), report.SummaryLine())
			}
		})
	}
}

func filingMix() Mix {
	class := Class{Name: "entry-filing", Weight: 1, Method: "POST", Path: "/entry-filing/entries", Keyed: true, MeanBodyBytes: 20, ResponseBytes: 64}
	return Mix{Host: "kodumala.example", Classes: []Class{class}}
}

func TestRunsAreReadFromCollector(t *testing.T) {
	collector := NewCollector()
	server := httptest.NewServer(collector)
	defer server.Close()
	for range 2 {
		response, err := http.Post(server.URL, "application/json", strings.NewReader(`["a","b"]`))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	runs, unread := readRuns(&Config{Collector: collector})
	if len(unread) > 0 || runs["a"] != 2 || runs["b"] != 2 {
		t.Fatalf("runs %v, %v", runs, unread)
	}
}

func TestUnreadJournalIsReported(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	report, err := Run(t.Context(), Config{
		Ingresses:   []string{address},
		Journals:    []string{address},
		Mix:         filingMix(),
		Rate:        100,
		Duration:    50 * time.Millisecond,
		MaxAttempts: 1,
	})
	if err != nil || len(report.UnreadJournals) != 1 || !report.HasViolations() {
		t.Fatalf("report %+v, %v", report, err)
	}
}

// Guards against a hidden retry by http.Transport: an attempt whose connection
// breaks may have run, even if the next dial is refused. With a hidden retry the
// load generator would see only the refused dial and count the request as not
// run.
func TestBrokenConnectionIsNotARefusedOne(t *testing.T) {
	var server *httptest.Server
	var served atomic.Int64
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if served.Add(1) > 3 {
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.CloseClientConnections()
	mix := Mix{Host: "org.example", Classes: []Class{{Name: "file", Weight: 1, Method: "POST", Path: "/file", Keyed: true, MeanBodyBytes: 10}}}
	r, err := Run(t.Context(), Config{
		Ingresses:   []string{strings.TrimPrefix(server.URL, "http://")},
		Mix:         mix,
		Rate:        20,
		Duration:    500 * time.Millisecond,
		Seed:        1,
		MaxAttempts: 1,
		Duplicates:  -1,
		Collector:   NewCollector(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.All.Unknown != 1 || r.FailureReasons["connection broke"] != 1 {
		t.Errorf("unknown=%d, reasons %v; want 1 with a broken connection", r.All.Unknown, r.FailureReasons)
	}
}

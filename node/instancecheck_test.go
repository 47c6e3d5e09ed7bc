package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
)

// announceTarget starts a target that answers load polls with the given handler, announces it
// as instance i1, and counts the requests that it runs.
func announceTarget(t *testing.T, loadReport http.HandlerFunc) (*localTarget, *atomic.Int64) {
	var runs atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", loadReport)
	mux.HandleFunc("/s/", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	local, a := newServedTarget(t, func(http.ResponseWriter, *http.Request) {})
	a.Address = strings.TrimPrefix(server.URL, "http://")
	local.announce(a)
	return local, &runs
}

// reports answers a load poll with the given body.
func reports(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// Guards against a check of new connections that shuts out targets which have no load report,
// name no instance in it, or end connections after each answer.
func TestTargetWithoutInstanceInLoadReportIsServed(t *testing.T) {
	for name, loadReport := range map[string]http.HandlerFunc{
		"same instance":    reports(`{"state":"warm","slots":20,"instance":"i1"}`),
		"no instance":      reports(`{"state":"warm","slots":20}`),
		"no JSON":          reports("ok"),
		"no answer body":   reports(""),
		"long answer":      reports(strings.Repeat("x", 2*maxCheckBytes)),
		"not found":        http.NotFound,
		"fails":            func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"ends connections": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") },
		"instance in the header": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(request.HeaderInstance, "i1")
		},
	} {
		local, runs := announceTarget(t, loadReport)
		if res := sendTo(t, local, "org/s"); res.failure != nil || runs.Load() != 1 {
			t.Errorf("%s: failure %+v, %d runs, want 1", name, res.failure, runs.Load())
		}
	}
}

// Guards against requests that another instance runs, and against a node that goes on opening
// connections to it: until the next announcement the target is absent.
func TestTargetOfAnotherInstanceIsAbsentUntilAnnounced(t *testing.T) {
	var checks atomic.Int64
	local, runs := announceTarget(t, func(w http.ResponseWriter, r *http.Request) {
		checks.Add(1)
		reports(`{"state":"warm","slots":20,"instance":"i2"}`)(w, r)
	})
	for range 20 {
		if res := sendTo(t, local, "org/s"); !res.notRun() || res.failure.Status != http.StatusServiceUnavailable {
			t.Fatalf("failure %+v, want not-run with status 503", res.failure)
		}
	}
	if runs.Load() != 0 || checks.Load() != 1 {
		t.Errorf("%d runs and %d connections, want none and 1", runs.Load(), checks.Load())
	}
	if state := local.publish(); state != load.Absent {
		t.Errorf("state %v, want absent", state)
	}
	next := local.announced
	next.Instance = "i2"
	local.announce(next)
	if res := sendTo(t, local, "org/s"); res.failure != nil || runs.Load() != 1 {
		t.Errorf("after the announcement: failure %+v, %d runs, want 1", res.failure, runs.Load())
	}
}

// Guards against a check that shuts out a target whose load report lags, or delays its requests
// by more than instanceCheckTimeout.
func TestTargetWithLateLoadReportIsServed(t *testing.T) {
	const lag = 700 * time.Millisecond
	local, runs := announceTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(lag):
		case <-r.Context().Done():
		}
	})
	local.checkTimeout = instanceCheckTimeout
	local.connect(local.announced, local.connections)
	const requests = 3
	for range requests {
		began := time.Now()
		if res := sendTo(t, local, "org/s"); res.failure != nil {
			t.Errorf("failure %+v", res.failure)
		}
		if took := time.Since(began); took >= lag {
			t.Errorf("took %v, as long as the load report", took)
		}
	}
	if runs.Load() != requests {
		t.Errorf("%d runs, want %d", runs.Load(), requests)
	}
}

// Guards against an interim response to the check that is taken for its answer: the final one was
// then given to the caller of the first request.
func TestInterimResponseToTheCheckIsSkipped(t *testing.T) {
	local, runs := announceTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</x>")
		w.WriteHeader(http.StatusEarlyHints)
		time.Sleep(30 * time.Millisecond) // so that the responses come in two reads
		reports(`{"state":"warm","slots":20,"instance":"i2"}`)(w, nil)
	})
	if res := sendTo(t, local, "org/s"); !res.notRun() || runs.Load() != 0 {
		t.Errorf("result %+v, %d runs, want not-run", res, runs.Load())
	}
}

// Guards against a load report for each connection to a target that can't be checked, which the
// measurement budget does not count.
func TestTargetThatCannotBeCheckedIsAskedOnce(t *testing.T) {
	var checks atomic.Int64
	local, runs := announceTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		checks.Add(1)
		w.Header().Set("Connection", "close")
	})
	const requests = 5
	for range requests {
		sendTo(t, local, "org/s")
		local.proxy.client.Load().transport.CloseIdleConnections()
	}
	if runs.Load() != requests || checks.Load() != 1 {
		t.Errorf("%d runs and %d load reports, want %d and 1", runs.Load(), checks.Load(), requests)
	}
}

// BenchmarkOpenConnection measures a new connection, with and without the check of the instance.
func BenchmarkOpenConnection(b *testing.B) {
	server := httptest.NewServer(reports(`{"state":"warm","slots":20,"instance":"i1"}`))
	defer server.Close()
	for _, instance := range []string{"", "i1"} {
		b.Run("instance="+instance, func(b *testing.B) {
			client := newTargetClient("org/s", strings.TrimPrefix(server.URL, "http://"), 1, func(int) {})
			client.instance, client.checkTimeout = instance, instanceCheckTimeout
			for b.Loop() {
				conn, err := client.openConn(b.Context(), "tcp", client.address)
				if err != nil {
					b.Fatal(err)
				}
				_ = conn.Close()
			}
		})
	}
}

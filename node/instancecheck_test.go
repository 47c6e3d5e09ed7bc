package node

import (
	"context"
	"net"
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

// Guards against a request that waits for a target which accepts connections and answers
// nothing, or whose outcome is unknown although it was never sent.
func TestConnectionWithoutAnswerToTheCheckIsNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	local, a := newServedTarget(t, nil)
	a.Address = listener.Addr().String()
	local.announce(a)
	local.proxy.admission.SetOpenConnections(5)
	ctx, cancel := context.WithTimeout(t.Context(), 4*dialTimeout)
	defer cancel()
	began := time.Now()
	if res := local.proxy.serve(ctx, lookupOf(t, "org/s")); !res.notRun() {
		t.Errorf("failure %+v, want not-run", res.failure)
	}
	if took := time.Since(began); took >= 4*dialTimeout {
		t.Errorf("took %v, want at most about %v", took, dialTimeout)
	}
}

// BenchmarkOpenConnection measures a new connection, with and without the check of the instance.
func BenchmarkOpenConnection(b *testing.B) {
	server := httptest.NewServer(reports(`{"state":"warm","slots":20,"instance":"i1"}`))
	defer server.Close()
	for _, instance := range []string{"", "i1"} {
		b.Run("instance="+instance, func(b *testing.B) {
			client := newTargetClient("org/s", strings.TrimPrefix(server.URL, "http://"), 1, func(int) {})
			client.instance = instance
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

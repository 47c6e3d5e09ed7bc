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

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// newServedTarget returns a local target whose process is the handler, and the
// announcement of that process as service org/s. The process has no load report, which a
// node asks for on each new connection.
func newServedTarget(t *testing.T, handler http.HandlerFunc) (*localTarget, announcement) {
	local, _ := newLocalTarget(t, version.TargetLimits{})
	local.proxy.onConnectionBroken = func(string) {}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			http.NotFound(w, r)
			return
		}
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	a := bigTarget
	a.Address = strings.TrimPrefix(server.URL, "http://")
	return local, a
}

// lookupOf returns a request to the idempotent route of a service.
func lookupOf(t *testing.T, id version.ServiceID) *bufferedRequest {
	deadline, err := request.NewDeadline(time.Now(), "", 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	service := &version.Service{ID: id, PathPrefix: "/s/", Routes: testRoutes}
	return &bufferedRequest{id: "r", service: service, route: service.RouteByName("lookup"), method: "GET", uri: "/s/x",
		header: http.Header{}, deadline: deadline}
}

// sendTo sends a request of a service to the local target.
func sendTo(t *testing.T, local *localTarget, id version.ServiceID) result {
	local.proxy.admission.SetOpenConnections(5)
	return local.proxy.serve(context.Background(), lookupOf(t, id))
}

// Guards against a run by a target of another service: a node that has not yet got the
// announcement sends the request to the node of the target that served it before.
func TestRequestOfAnotherServiceDoesNotReachTarget(t *testing.T) {
	var runs atomic.Int64
	local, a := newServedTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	local.announce(a)
	if res := sendTo(t, local, "org/s"); res.failure != nil || runs.Load() != 1 {
		t.Fatalf("its own request: %+v, %d runs", res.failure, runs.Load())
	}
	res := sendTo(t, local, "org/other")
	if runs.Load() != 1 || !res.notRun() {
		t.Errorf("the target of org/s ran the request of org/other: %d runs, want 1; failure %+v, want not-run", runs.Load(), res.failure)
	}
	// The same process announces another service, as one with a fixed instance may do.
	a.Service = "other"
	local.announce(a)
	res = sendTo(t, local, "org/s")
	if runs.Load() != 1 || !res.notRun() {
		t.Errorf("the target of org/other ran the request of org/s: %d runs, want 1; failure %+v, want not-run", runs.Load(), res.failure)
	}
	if res = sendTo(t, local, "org/other"); res.failure != nil || runs.Load() != 2 {
		t.Errorf("its own request: %+v, %d runs, want 2", res.failure, runs.Load())
	}
}

// Guards against a run by a target of another service that announced itself between the
// admission of the request and its sending.
func TestAdmittedRequestDoesNotReachLaterTargetOfAnotherService(t *testing.T) {
	var runs atomic.Int64
	local, a := newServedTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	local.announce(a)
	local.proxy.admission.SetOpenConnections(5)
	req := lookupOf(t, "org/s")
	permit, refusal := local.proxy.admit(req, time.Now())
	if refusal != nil {
		t.Fatal(refusal)
	}
	a.Service, a.Instance = "other", "i2"
	local.announce(a)
	res := local.proxy.send(context.Background(), permit, req)
	if runs.Load() != 0 || !res.notRun() {
		t.Errorf("the target of org/other ran the request of org/s: %d runs, want 0; failure %+v, want not-run", runs.Load(), res.failure)
	}
	if !local.proxy.admission.Idle() {
		t.Error("the slot is still held")
	}
}

// Guards against a run by a target of another service that listens at the address of an ended
// one and has not announced itself yet.
func TestRequestDoesNotReachUnannouncedTargetAtSameAddress(t *testing.T) {
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(request.HeaderInstance, "i1") }))
	local, a := newServedTarget(t, nil)
	a.Address = strings.TrimPrefix(first.URL, "http://")
	local.announce(a)
	if res := sendTo(t, local, "org/s"); res.failure != nil {
		t.Fatalf("its own request: %+v", res.failure)
	}
	first.Close()
	listener, err := net.Listen("tcp", a.Address)
	if err != nil {
		t.Fatal(err)
	}
	var runs atomic.Int64
	later := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderInstance, "i2")
		if r.URL.Path == "/load" {
			writeJSON(w, map[string]any{"instance": "i2", "state": "warm", "slots": 20})
			return
		}
		runs.Add(1)
	})}
	defer later.Close()
	go func() { _ = later.Serve(listener) }()
	if sendTo(t, local, "org/s"); runs.Load() != 0 {
		t.Errorf("the target that took over the address ran the request of org/s: %d runs, want 0", runs.Load())
	}
}

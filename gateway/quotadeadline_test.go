package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
)

// schedulingTime is allowed for the processes of a busy machine to run. It is far below the
// time until a coordinator counts as silent.
const schedulingTime = 100 * time.Millisecond

// silenceCoordinator makes a node ask an address that never answers about acme, and forget that
// requests need no tokens.
func silenceCoordinator(t *testing.T, n *testNode) {
	t.Helper()
	silent, err := net.ListenPacket("udp4", nextIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.coordinators["acme"] = cachedCoordinator{
		Coordinator: fleet.Coordinator{Node: "silent", DatagramAddress: silent.LocalAddr().String(), Reached: 4, Known: 4},
		until:       time.Now().Add(time.Minute),
	}
	n.quotas.ingress.CoordinatorChanged("acme")
}

// A request with a deadline of 100 ms got its 503 after half a second, when its coordinator had
// left three messages without an answer.
func TestRequestDoesNotWaitForItsQuotaBeyondItsDeadline(t *testing.T) {
	f, recorder := quotaFleet(t, nil)
	n := f.nodes[0]
	silenceCoordinator(t, n)
	const timeout = 100 * time.Millisecond
	began := time.Now()
	r := n.callWith(t, "GET", "/s/x", "late", "Connection", "close", platform.HeaderKey, "key-acme-1", platform.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	if took := time.Since(began); took > timeout+schedulingTime {
		t.Errorf("answered after %v, its timeout is %v", took, timeout)
	}
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with one", r.status, r.header.Get("Retry-After"))
	}
	if got := recorder.arrivals("acme"); got != 0 {
		t.Errorf("%d requests reached targets", got)
	}
}

// A request whose response was lost waited for the quota of its repeat until long after its
// deadline.
func TestRepeatDoesNotWaitForItsQuotaBeyondTheDeadline(t *testing.T) {
	f, recorder := quotaFleet(t, func(s *Settings) { s.Limits.RepeatSlack, s.Limits.RepeatRatio = 10000, 10 })
	n := f.nodes[0]
	if r := n.callWith(t, "GET", "/s/x", "first", "Connection", "close", platform.HeaderKey, "key-acme-1"); r.status != http.StatusOK {
		t.Fatalf("status %d", r.status)
	}
	silenceCoordinator(t, n)
	n.quotas.mu.Lock()
	n.quotas.ingress.Return("acme", time.Now()) // for the first attempt
	n.quotas.mu.Unlock()
	const timeout = 150 * time.Millisecond
	began := time.Now()
	r := n.callWith(t, "GET", "/s/lose", "repeat", "Connection", "close", platform.HeaderKey, "key-acme-1", platform.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	if took := time.Since(began); took > timeout+schedulingTime {
		t.Errorf("answered with %d after %v, its timeout is %v", r.status, took, timeout)
	}
	if got := recorder.arrivals("acme"); got != 2 {
		t.Errorf("%d requests reached targets, want the first one and one attempt of the second", got)
	}
}

package gateway

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
	"verbenatrestle/request"
)

// encodeAdmission and decodeAdmission are inverse to each other, and malformed
// headers are refused.
func TestHopHeadersRoundTrip(t *testing.T) {
	now := time.Now()
	req := &targetRequest{}
	req.admission.Kind, req.admission.Priority, req.admission.Due = "k", 2, now.Add(300*time.Millisecond)
	req.admission.Retry, req.admission.NonIdempotent, req.admission.MayHaveRun, req.admission.CausedByRetry, req.admission.HasAlternatives = true, true, true, true, true
	admission, err := decodeAdmission(encodeAdmission(req, now), now)
	if err != nil || admission != req.admission {
		t.Fatalf("%+v, %v", admission, err)
	}
	for _, text := range []string{"", "k;1", "k;x;1;true;true;true;true;true", "k;1;1;yes;true;true;true;true", "k;1;1;true;true;true;true;maybe"} {
		if _, err := decodeAdmission(text, now); err == nil {
			t.Errorf("%q was decoded", text)
		}
	}
}

// A hop that the server of the other node rejects has not run there.
func TestRejectedHopHasNotRun(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "once"))
	a := f.add(testTarget{service: "once", slots: 8, work: time.Millisecond})
	f.settled(1)
	header := http.Header{platform.HeaderRequestID: {"large"}, request.HeaderHop: {hopRun}}
	header.Set("Large", strings.Repeat("x", 2*hopHeaderRoom*defaultHeaderBytes))
	response, err := a.hopClient.call(t.Context(), a.settings.Listen.Hop, &exchange.Request{Method: http.MethodPost, RequestURI: "/once/1", Header: header, ID: "large"})
	if err != nil {
		t.Fatal(err)
	}
	if r := decodeResult(response); r.outcome != request.NotRun || r.reason != reasonHopRejected {
		t.Fatalf("status %d: outcome %q, reason %q", response.Status, r.outcome, r.reason)
	}
}

// The configuration allows bodies that are larger than the default. Hops must pass
// them too.
func TestHopLimitsFollowTheConfiguration(t *testing.T) {
	f := newTestFleet(t)
	a := f.add(quick)
	before := a.hopLimits()
	config := strings.Replace(string(standin.ConfigForServices(1, "s")), `"maxBodyBytes":1048576`, `"maxBodyBytes":1073741824`, 1)
	f.store.Put("config", "main", []byte(config))
	f.settled(1)
	if after := a.hopLimits(); after.MaxBodyBytes < 1<<30 || before.MaxBodyBytes < defaultBodyBytes {
		t.Fatalf("%d bytes before, %d after", before.MaxBodyBytes, after.MaxBodyBytes)
	}
}

// A sweep between the choice of a pool and the use of it must not drop the pool, or
// its connections would never be closed.
func TestPoolInUseIsNotSwept(t *testing.T) {
	h := newHopClient(nil, nil)
	p := h.acquire("127.0.0.1:1")
	h.sweep(time.Now())
	if h.acquire("127.0.0.1:1") != p {
		t.Fatal("a pool in use was dropped")
	}
	h.release(p)
	h.release(p)
	h.sweep(time.Now())
	if len(h.pools) != 0 {
		t.Fatal("an unused pool was kept")
	}
}

// The configuration changes the connections that a target takes. The pool of the
// running target must follow.
func TestConnectionLimitFollowsTheConfiguration(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(testTarget{service: "s", slots: 8, work: 300 * time.Millisecond})
	f.settled(1)
	lowered := strings.Replace(string(standin.ConfigForServices(2, "s")), `"maxConnections":200`, fmt.Sprintf(`"maxConnections":%d`, spareConnections+2), 1)
	f.store.Put("config", "main", []byte(lowered))
	f.settled(2)
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() { a.call(t, http.MethodGet, "/s/1", fmt.Sprint(i), "") })
	}
	group.Wait()
	if open := a.localTarget.pool.OpenConnections(); open > 2 {
		t.Fatalf("%d connections", open)
	}
}

// A status must fit into a datagram with the longest names and all data centres out
// of service.
func TestLongestStatusFitsIntoDatagram(t *testing.T) {
	long := strings.Repeat("n", maxNameBytes)
	status := fleet.Status{
		Node: long, Incarnation: math.MaxUint64, Sequence: math.MaxUint64, DataCentre: long,
		HopAddress: "255.255.255.255:65535", Stopping: true, Service: long, Instance: long,
		Slots: math.MaxInt32, Running: math.MaxInt32, Waiting: math.MaxInt32, Slowdown: math.MaxInt32, Accepting: true,
		ColdRemainingMillis: math.MaxInt32, ConfigNumber: math.MaxUint64, OutRevision: math.MaxUint64,
		EchoMillis: math.MaxInt32, FailurePercent: 100, Wanted: true,
	}
	for range 16 {
		status.DataCentresOut = append(status.DataCentresOut, long[:maxDataCentreNameBytes/16])
	}
	table := fleet.NewTable(fleet.Settings{UnreachableAfter: time.Second})
	for i := range 40 {
		s := fleet.Status{Node: fmt.Sprint(i), Incarnation: uint64(i + 1), Sequence: 1, ReachesStore: i%2 == 0}
		table.Merge(s, s.Node, time.Unix(1, 0))
	}
	status.Watchers = table.WatcherMarks("self", true, maxActiveWatchersLarge, time.Unix(1, 0))
	data, err := newStatusExchange(nil, 1).codec.Encode(&status)
	if err != nil || len(data) > maxDatagramBytes || len(status.Watchers) == 0 {
		t.Fatalf("%d bytes with %d marks, %v", len(data), len(status.Watchers), err)
	}
}

// A caller sends a request that must not run twice again under the same id, although
// it has run. The answer must not state that it has not, and no other target may get
// it.
func TestRepeatedNonIdempotentRequestIsUnknown(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "once"))
	a := f.add(testTarget{service: "once", slots: 8, work: 5 * time.Millisecond})
	f.settled(1)
	if got := a.call(t, http.MethodPost, "/once/1", "same", "x"); got.status != http.StatusOK {
		t.Fatalf("%d", got.status)
	}
	got := a.call(t, http.MethodPost, "/once/1", "same", "x")
	if got.status != http.StatusBadGateway || !strings.Contains(got.body, `"unknown"`) {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if runs := a.target.Runs(); len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
}

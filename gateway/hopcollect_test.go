package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/internal/soak"
	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/hops"
	"verbenatrestle/request"
)

// addBehindProxy starts a node and its target. The hops of other nodes to it pass a proxy.
func (f *testFleet) addBehindProxy(tt testTarget) (*testNode, *soak.Proxy) {
	f.t.Helper()
	listener, err := net.Listen("tcp4", nextIP()+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	return f.addBehind(listener, tt)
}

// addBehind is like addBehindProxy for a proxy with the given listener.
func (f *testFleet) addBehind(listener net.Listener, tt testTarget) (*testNode, *soak.Proxy) {
	f.t.Helper()
	f.t.Cleanup(func() { _ = listener.Close() })
	hop := freeAddress(f.t)
	proxy := soak.NewProxy(hop)
	go func() { _ = proxy.Serve(listener) }()
	f.adjust = func(s *Settings) { s.Listen.Hop, s.AdvertiseHop = hop, listener.Addr().String() }
	defer func() { f.adjust = nil }()
	return f.add(tt), proxy
}

// newSeveredFleet starts a node that sends requests to two targets of a service, each
// behind a proxy, and opens connections to both.
func newSeveredFleet(t *testing.T, service string, work time.Duration) (*testFleet, *testNode, []*soak.Proxy) {
	t.Helper()
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, service, "u"))
	sender := f.add(testTarget{service: "u", slots: 8, work: time.Millisecond})
	var proxies []*soak.Proxy
	for range 2 {
		_, proxy := f.addBehindProxy(testTarget{service: service, slots: 8, work: work})
		proxies = append(proxies, proxy)
	}
	f.settled(1)
	if failed := callAtOnce(t, sender, service, "warm", 8); failed > 0 {
		t.Fatalf("%d of 8 requests failed before any fault", failed)
	}
	return f, sender, proxies
}

// callAtOnce sends some requests at once and returns how many got no response of a target.
func callAtOnce(t *testing.T, n *testNode, service, prefix string, requests int) int {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	failed := 0
	for i := range requests {
		group.Go(func() {
			id := fmt.Sprint(prefix, "-", i)
			if got := n.call(t, http.MethodPost, "/"+service+"/1", id, id); got.status != http.StatusOK {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failed
}

// checkRuns checks that no request ran twice.
func (f *testFleet) checkRuns() {
	f.t.Helper()
	runs := make(map[string]int)
	for _, n := range f.nodes {
		for _, run := range n.target.Runs() {
			runs[run.ID]++
		}
	}
	for id, count := range runs {
		if count > 1 {
			f.t.Errorf("request %s ran %d times", id, count)
		}
	}
}

// Open connections between nodes go silent while they are idle. A request that is sent
// over one never arrives, and must be served over another one in time.
func TestRequestsOnSilentConnectionsAreServed(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"once", "safe"} {
		f, sender, proxies := newSeveredFleet(t, service, 20*time.Millisecond)
		for _, proxy := range proxies {
			_ = proxy.SetMode(soak.ModeSever) // the mode is known
		}
		if failed := callAtOnce(t, sender, service, "silent", 8); failed > 0 {
			t.Errorf("%s: %d of 8 requests failed", service, failed)
		}
		f.checkRuns()
	}
}

// All idle connections of a node went silent. A request that finds that out on the first
// target must not wait on a connection of the same age to the next one.
func TestOneRequestWaitsOnOneSilentConnection(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"once", "safe"} {
		f, sender, proxies := newSeveredFleet(t, service, 20*time.Millisecond)
		for _, proxy := range proxies {
			_ = proxy.SetMode(soak.ModeSever) // the mode is known
		}
		if failed := callAtOnce(t, sender, service, "single", 1); failed > 0 {
			t.Errorf("%s: the request failed", service)
		}
		f.checkRuns()
	}
}

// A silent connection was found while another request is on its way. That one must not be
// asked for yet: it would be fenced off where it arrives in a moment.
func TestRequestOnItsWayIsNotCollected(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	a, _ := f.add(quick), f.add(testTarget{service: "u", slots: 8, work: time.Millisecond})
	f.settled(1)
	to := a.candidates("u", a.config.snapshot(), time.Now())[0]
	pending := func(id string, sentAt time.Time) *pendingHop {
		p := &pendingHop{
			client: a.hopClient, to: &to, id: id, sentAt: sentAt, ctx: t.Context(), cancelSend: func() {}, collected: make(chan *attemptResult, 1),
		}
		a.hopClient.track(p)
		return p
	}
	now := time.Now()
	silent, old, recent := pending("silent", now.Add(-time.Second)), pending("old", now.Add(-time.Second)), pending("recent", now)
	a.hopClient.foundSilent(silent)
	if r := <-old.collected; r == nil || r.reason != reasonFenced {
		t.Errorf("the request sent a second ago: %+v", r)
	}
	select {
	case r := <-recent.collected:
		t.Errorf("the request on its way was collected: %+v", r)
	case <-time.After(200 * time.Millisecond):
	}
}

// Open connections between nodes go silent while requests run. The responses must be
// collected over other connections, without a second run.
func TestResponsesOnSilentConnectionsAreCollected(t *testing.T) {
	t.Parallel()
	f, sender, proxies := newSeveredFleet(t, "once", 300*time.Millisecond)
	time.AfterFunc(150*time.Millisecond, func() {
		for _, proxy := range proxies {
			_ = proxy.SetMode(soak.ModeSever) // the mode is known
		}
	})
	if failed := callAtOnce(t, sender, "once", "running", 8); failed > 0 {
		t.Errorf("%d of 8 requests failed", failed)
	}
	f.checkRuns()
}

// sendOnce has the node send a request to another node, and returns what its sender knows
// of it, as if the response were lost.
func (n *testNode) sendOnce(t *testing.T, path, id string) *pendingHop {
	t.Helper()
	done := make(chan reply, 1)
	go func() { done <- n.call(t, http.MethodPost, path, id, "x") }()
	var sent *pendingHop
	eventually(t, "the request is sent", func() bool {
		n.hopClient.mu.Lock()
		defer n.hopClient.mu.Unlock()
		for p := range n.hopClient.pending {
			if p.id == id {
				sent = &pendingHop{client: p.client, to: p.to, id: id, attempt: p.attempt, sentAt: p.sentAt, ctx: t.Context(), cancelSend: func() {}}
			}
		}
		return sent != nil
	})
	if got := <-done; got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	return sent
}

// An idempotent request has run and its response is lost. Its node must not be believed to
// know that it did not run when it remembers it no longer, or after many others.
func TestCollectIsNoProofForOldRequests(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "u", "safe"))
	a, _ := f.add(quick), f.add(testTarget{service: "safe", slots: 8, work: 30 * time.Millisecond})
	f.settled(1)
	pending := a.sendOnce(t, "/safe/1", "ran")
	for batch := range 25 {
		if failed := callAtOnce(t, a, "safe", fmt.Sprint(batch), 8); failed > 0 {
			t.Errorf("%d of 8 requests failed", failed)
		}
	}
	if r := pending.collect(); r != nil && r.outcome != request.Done {
		t.Errorf("after many other requests: %+v", r)
	}
	time.Sleep(time.Until(pending.sentAt.Add(hops.DefaultSettings.KeepFor + 100*time.Millisecond)))
	if r := pending.collect(); r != nil && r.outcome != request.Done {
		t.Errorf("when the request is forgotten: %+v", r)
	}
}

// A node that never saw a request, or another process of it, must not make its sender
// believe in a run or in none.
func TestCollectTellsOnlyWhatTheNodeKnows(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	a, b := f.add(quick), f.add(testTarget{service: "u", slots: 8, work: 30 * time.Millisecond})
	f.settled(1)
	to := a.candidates("u", a.config.snapshot(), time.Now())[0]
	pending := func(id string) *pendingHop {
		return &pendingHop{client: a.hopClient, to: &to, id: id, sentAt: time.Now(), ctx: t.Context(), cancelSend: func() {}}
	}
	if r := pending("never").collect(); r == nil || r.reason != reasonFenced || r.response != nil {
		t.Errorf("a request that never arrived: %+v", r)
	}
	if got := a.call(t, http.MethodPost, "/u/1", "never", "x"); got.status == http.StatusOK || len(b.target.Runs()) > 0 {
		t.Errorf("the fenced request got %d and ran %d times", got.status, len(b.target.Runs()))
	}
	if r := a.sendOnce(t, "/u/1", "ran").collect(); r == nil || r.response == nil || r.response.Status != http.StatusOK {
		t.Errorf("a request that ran: %+v", r)
	}
	for attempt, outcome := range map[string]request.Outcome{"first": request.NotRun, "second": request.Done} {
		header := http.Header{platform.HeaderRequestID: {"twice"}, headerAttempt: {attempt}}
		b.logHop(hopKey(header), func() *pipeline.Response {
			result := attemptResult{outcome: outcome}
			if outcome == request.Done {
				result.response = &exchange.Response{Status: http.StatusOK, Header: http.Header{}}
			}
			return encodeResult("twice", &result)
		})
	}
	for attempt, outcome := range map[string]request.Outcome{"first": request.NotRun, "second": request.Done} {
		p := pending("twice")
		p.attempt = attempt
		if r := p.collect(); r == nil || r.outcome != outcome {
			t.Errorf("the %s time that a request was sent: %+v, want %s", attempt, r, outcome)
		}
	}
	to.Incarnation++
	if r := pending("ran").collect(); r != nil {
		t.Errorf("another process of the node reported %+v", r)
	}
}

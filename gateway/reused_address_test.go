package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
)

// reuseAddress starts a target of another service at the address of a node's target. It takes
// the requests there from now on, and reports once.
func (n *testNode) reuseAddress(t *testing.T, service string) *standin.Target {
	t.Helper()
	next := standin.NewTarget(standin.TargetOptions{
		Instance: "i-next-" + n.settings.Name, Service: service, DataCentre: "z1", Slots: 8,
		RunTime: time.Millisecond, ReportAddress: n.settings.Listen.Reports,
	})
	n.target.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
		next.ServeHTTP(w, r)
		return true
	})
	if err := next.SendReport(n.settings.Target, false); err != nil {
		t.Fatal(err)
	}
	if state := n.localTarget.state(time.Now()); state.Service != service {
		t.Fatalf("the node serves %q, want %q", state.Service, service)
	}
	return next
}

// Requests that waited at the gate were sent to a target of another service once it had taken
// the address, with its own instance in Target-Instance, so that it ran them.
func TestWaitingRequestIsNotSentToTargetOfAnotherService(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	n := f.add(testTarget{service: "s", slots: 1, work: 300 * time.Millisecond})
	f.settled(1)
	var calls sync.WaitGroup
	statuses := make([]int, 2)
	for i := range statuses {
		calls.Go(func() { statuses[i] = n.call(t, http.MethodGet, "/s/1", fmt.Sprint("id-", i), "").status })
	}
	eventually(t, "one request runs and one waits", func() bool {
		state := n.localTarget.state(time.Now())
		return len(n.target.Runs()) == 1 && state.Waiting == 1
	})
	next := n.reuseAddress(t, "u")
	calls.Wait()
	if runs := next.Runs(); len(runs) != 0 {
		t.Errorf("the target of u ran a request for s: %+v", runs)
	}
	if statuses[0]+statuses[1] != http.StatusOK+http.StatusServiceUnavailable {
		t.Errorf("statuses %v, want one 200 and one 503", statuses)
	}
}

// A request was sent to a target of another service that took the address after the admission.
func TestAdmittedRequestIsNotSentToTargetOfAnotherService(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	n := f.add(quick)
	f.settled(1)
	now := time.Now()
	header := http.Header{platform.HeaderRequestID: {"id"}}
	req := &targetRequest{
		message:   exchange.Request{Method: http.MethodGet, RequestURI: "/s/1", Host: "h", Header: header, ID: "id"},
		service:   "s",
		admission: gate.Request{ID: "id", Kind: "r-s", Due: now.Add(time.Second), Deadline: now.Add(time.Second)},
	}
	if reason, _ := n.localTarget.admit(t.Context(), req, now); reason != "" {
		t.Fatalf("refused: %s", reason)
	}
	next := n.reuseAddress(t, "u")
	r := n.localTarget.send(t.Context(), req)
	if runs := next.Runs(); len(runs) != 0 {
		t.Errorf("the target of u ran a request for s: %+v", runs)
	}
	if r.outcome != request.NotRun || r.reason != string(gate.RefusedOtherService) {
		t.Errorf("outcome %q, reason %q", r.outcome, r.reason)
	}
	if running := n.localTarget.state(time.Now()).Running; running != 0 {
		t.Errorf("%d requests count as running", running)
	}
}

// Guards against the use of a target that is gone: a report of an earlier process arrives late, as
// the first one of a node or after that of a target of another service at the same address.
func TestLateReportOfAnEarlierProcessRunsNothing(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	n := f.addNode(testTarget{service: "s"})
	options := standin.TargetOptions{Instance: "i-old", Service: "s", DataCentre: "z1", Slots: 8, ReportAddress: n.settings.Listen.Reports}
	old := standin.NewTarget(options)
	time.Sleep(2 * time.Millisecond) // processes are told apart by the millisecond of their start
	options.Instance, options.Service = "i-new", "u"
	next := standin.NewTarget(options)
	if err := standin.StartServer(f.ctx, n.settings.Target, next); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the node has the configuration", func() bool { return n.config.snapshot().number() == 1 })
	report := func(target *standin.Target, service string) {
		t.Helper()
		if err := target.SendReport(n.settings.Target, false); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the target is one of "+service, func() bool { return n.localTarget.state(time.Now()).Service == service })
	}
	report(old, "s")
	if got := n.call(t, http.MethodPost, "/s/1", "late-first", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("the report is the first one: status %d, want 503", got.status)
	}
	report(next, "u")
	report(old, "u")
	if got := n.call(t, http.MethodPost, "/s/1", "late-second", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("the report comes after that of the new target: status %d, want 503", got.status)
	}
	if got := n.call(t, http.MethodPost, "/u/1", "for-u", ""); got.status != http.StatusOK {
		t.Errorf("a request for u: status %d, want 200", got.status)
	}
	if runs := next.Runs(); len(runs) != 1 || runs[0].ID != "for-u" {
		t.Errorf("the target of u ran %+v", runs)
	}
}

// Guards against a sender that still takes the target of a node for one of another service, as
// after the address of a node or of its target was used again.
func TestHopForAnotherServiceIsNotRun(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	a, u := f.add(quick), f.add(testTarget{service: "u", slots: 8, work: time.Millisecond})
	f.settled(1)
	candidates := a.candidates("u", a.config.snapshot(), time.Now())
	for i, service := range []string{"s", "", "U"} {
		id, now := fmt.Sprint("id-", i), time.Now()
		header := http.Header{platform.HeaderRequestID: {id}}
		r := a.hopClient.run(t.Context(), &candidates[0], &targetRequest{
			message:   exchange.Request{Method: http.MethodGet, RequestURI: "/s/1", Host: "h", Header: header, ID: id},
			service:   service,
			admission: gate.Request{ID: id, Kind: "r-s", Due: now.Add(time.Second), Deadline: now.Add(time.Second)},
		})
		if r.outcome != request.NotRun || r.reason != string(gate.RefusedOtherService) {
			t.Errorf("service %q: outcome %q, reason %q", service, r.outcome, r.reason)
		}
	}
	if runs := u.target.Runs(); len(runs) != 0 {
		t.Errorf("the target of u ran %+v", runs)
	}
}

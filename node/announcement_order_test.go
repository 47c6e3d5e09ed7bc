package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"verbenatrestle/version"
)

// Guards against connections that carry the service of an earlier announcement for good: two
// announcements at the same time left the connections of one and the state of the other.
func TestConnectionsFollowTheAnnouncementAtTheSameTime(t *testing.T) {
	const rounds = 2000
	for round := range rounds {
		local, _ := newLocalTarget(t, version.TargetLimits{})
		former, present := bigTarget, bigTarget
		present.Service, present.Instance = "other", "i2"
		former.StartedMillis, present.StartedMillis = 1, 2
		var announcements sync.WaitGroup
		announcements.Go(func() { local.announce(former) })
		announcements.Go(func() { local.announce(present) })
		announcements.Wait()
		if service := local.proxy.client.Load().service; service != present.service() {
			t.Fatalf("round %d: the connections are those of %s, want %s", round, service, present.service())
		}
		local.announce(present)
		if service := local.proxy.client.Load().service; service != present.service() {
			t.Fatalf("round %d: the connections are those of %s, want %s", round, service, present.service())
		}
	}
}

// Guards against a run by a target of another service: a late announcement of a process that
// has ended replaced the connections, and with them the service, by those of that process.
func TestLateAnnouncementOfPastInstanceIsIgnored(t *testing.T) {
	var runs atomic.Int64
	local, former := newServedTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	local.announce(former)
	present := former
	present.Service, present.Instance = "other", "i2"
	local.announce(present)
	local.announce(former) // was delayed
	if res := sendTo(t, local, "org/s"); runs.Load() != 0 || !res.notRun() {
		t.Errorf("the target of org/other ran the request of org/s: %d runs, want 0; failure %+v, want not-run", runs.Load(), res.failure)
	}
	if res := sendTo(t, local, "org/other"); res.failure != nil || runs.Load() != 1 {
		t.Errorf("its own request: %+v, %d runs, want 1", res.failure, runs.Load())
	}
}

// Guards against a node that, after its restart, gets the late announcement of a process that has
// ended before or after the one of the process that lives.
func TestFirstAnnouncementsAreOrderedByStart(t *testing.T) {
	former, present := bigTarget, bigTarget
	present.Service, present.Instance = "other", "i2"
	former.StartedMillis, present.StartedMillis = 1, 2
	for _, order := range [][]announcement{{former, present}, {present, former}} {
		local, _ := newLocalTarget(t, version.TargetLimits{})
		for _, a := range order {
			local.announce(a)
		}
		if service := local.service(); service != present.service() {
			t.Errorf("announced first %s: the target serves %s, want %s", order[0].Instance, service, present.service())
		}
	}
}

// Guards against a target that is locked out because the late announcement of a process that
// has ended, without a start, replaced its own.
func TestLivingTargetReturnsAfterLateAnnouncement(t *testing.T) {
	var runs atomic.Int64
	local, past := newServedTarget(t, nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			reports(`{"state":"warm","slots":20,"instance":"i2"}`)(w, r)
			return
		}
		runs.Add(1)
	}))
	defer server.Close()
	past.Address = strings.TrimPrefix(server.URL, "http://")
	present := past
	present.Service, present.Instance = "other", "i2"
	local.announce(present)
	local.announce(past) // was delayed, and the node has restarted since
	if res := sendTo(t, local, "org/s"); runs.Load() != 0 || !res.notRun() {
		t.Errorf("the target of org/other ran the request of org/s: %d runs, want 0; failure %+v, want not-run", runs.Load(), res.failure)
	}
	local.announce(present)
	if res := sendTo(t, local, "org/other"); res.failure != nil || runs.Load() != 1 {
		t.Errorf("its own request: %+v, %d runs, want 1", res.failure, runs.Load())
	}
}

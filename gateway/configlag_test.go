package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
)

// The log has to show whether a node was late because it could not get a configuration
// that it knew of. The time counts from the first number above the active one, also if
// further ones follow before the first is fetched.
func TestConfigLagCountsFromTheFirstNewerNumber(t *testing.T) {
	var lag configLag
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	if d, n := lag.activated(3, at(0)); d != 0 || n != 0 {
		t.Fatalf("the first configuration: %v, %d failures", d, n)
	}
	lag.received(3, 3, at(10))
	lag.received(5, 3, at(100))
	lag.fetchFailed()
	lag.received(7, 3, at(300))
	if lag.newestKnown() != 7 {
		t.Fatalf("newest %d", lag.newestKnown())
	}
	if d, n := lag.activated(5, at(400)); d != 300*time.Millisecond || n != 1 {
		t.Fatalf("%v, %d failures", d, n)
	}
	if d, n := lag.activated(7, at(450)); d != 150*time.Millisecond || n != 0 {
		t.Fatalf("the next one: %v, %d failures", d, n)
	}
	if d, _ := lag.activated(9, at(900)); d != 0 {
		t.Fatalf("learnt by its text: %v", d)
	}
}

// An outdated node went on by its old routes for as long as it was outdated. It must not once the newer
// configuration should be in force everywhere, unless it can't decode that one.
func TestOverdueFromTheFirstMissingConfiguration(t *testing.T) {
	const within = 1500 * time.Millisecond
	var lag configLag
	start := time.Unix(1000, 0)
	lag.activated(3, start)
	for i := range 40 { // configurations in quick succession, of which the node gets some, each late
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		lag.received(uint64(4+i), uint64(3), now)
	}
	if lag.overdue(3, within, start.Add(within-time.Millisecond)) {
		t.Error("overdue before the time has passed")
	}
	if !lag.overdue(3, within, start.Add(within)) {
		t.Error("not overdue with the configuration before the first")
	}
	lag.activated(20, start.Add(2*time.Second)) // number 21 is known since second 1.7
	if lag.overdue(20, within, start.Add(3100*time.Millisecond)) {
		t.Error("overdue 1.4 s after it knew of the next configuration")
	}
	if !lag.overdue(20, within, start.Add(3200*time.Millisecond)) {
		t.Error("not overdue 1.5 s after it knew of the next configuration")
	}
	lag.recordUndecodable(43)
	if lag.overdue(20, within, start.Add(5*time.Second)) {
		t.Error("overdue although it can't decode the newest configuration")
	}
}

// A status was handled with the active number from before a change that happened meanwhile. Its number must
// not count as missing, or the node is overdue as soon as the next change is announced.
func TestNumberOfTheActiveConfigurationIsNotMissing(t *testing.T) {
	var lag configLag
	start := time.Unix(1000, 0)
	lag.activated(5, start)
	lag.received(5, 4, start)
	later := start.Add(time.Minute)
	lag.received(6, 5, later)
	if lag.overdue(5, time.Second, later) {
		t.Error("overdue as soon as the next configuration is known")
	}
	if d, _ := lag.activated(6, later.Add(100*time.Millisecond)); d != 100*time.Millisecond {
		t.Errorf("outdated for %v, want 100ms", d)
	}
}

// A peer has a newer configuration and does not send it. The node ran requests by its old routes without an
// end, as only the older configuration allows. Where no peer has the newer one any more, it goes on.
func TestOverdueNodeRejectsRequests(t *testing.T) {
	f := newTestFleet(t)
	f.adjust = func(s *Settings) { s.Limits.ConfigApplySeconds = 1 }
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	n := f.add(quick)
	f.settled(1)
	silent, err := net.Listen("tcp4", nextIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	holder := fleet.Status{Node: "holder", Incarnation: 1, DataCentre: "z1", HopAddress: silent.Addr().String(), ConfigNumber: 2}
	var merging sync.WaitGroup
	merging.Go(func() {
		for wait.For(ctx, heartbeatInterval/2) {
			holder.Sequence++
			n.peers.merge(ctx, &holder, "127.0.0.1:1")
		}
	})
	eventually(t, "the node knows of the configuration", func() bool { return n.configLag.newestKnown() == 2 })
	if got := n.call(t, http.MethodGet, "/s/x", "in-time", "").status; got != http.StatusOK {
		t.Errorf("status %d as soon as a newer configuration is known", got)
	}
	var late reply
	eventually(t, "the node rejects requests", func() bool {
		late = n.call(t, http.MethodGet, "/s/x", "late", "")
		return late.status == http.StatusServiceUnavailable
	})
	if late.header.Get("Retry-After") == "" || !strings.Contains(n.log.String(), "config_overdue") {
		t.Errorf("header %v, and the log must name the reason", late.header)
	}
	end()
	merging.Wait()
	eventually(t, "the node goes on without a peer that has the configuration", func() bool {
		return n.call(t, http.MethodGet, "/s/x", "again", "").status == http.StatusOK
	})
}

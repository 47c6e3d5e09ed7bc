package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// silentTarget is a target that reports only when the test says so.
type silentTarget struct {
	*standin.Target
	node     *testNode
	instance string
	started  int64
}

// addSilentTarget starts a node and a target that has reported once.
func (f *testFleet) addSilentTarget() *silentTarget {
	f.t.Helper()
	return f.addSilentTargetStartedAt(time.Now())
}

// addSilentTargetStartedAt starts a node and a target that has reported once, by whose clock it
// started at a time of day.
func (f *testFleet) addSilentTargetStartedAt(started time.Time) *silentTarget {
	f.t.Helper()
	n := f.addNode(quick)
	s := &silentTarget{node: n, instance: "i-" + n.settings.Name, started: started.UnixMilli()}
	s.Target = standin.NewTarget(standin.TargetOptions{Instance: s.instance, Service: "s", DataCentre: "z1", Slots: quick.slots})
	n.target = s.Target
	if err := standin.StartServer(f.ctx, n.settings.Target, s.Target); err != nil {
		f.t.Fatal(err)
	}
	if got := s.report(f.t, "ready", 1); got != http.StatusOK {
		f.t.Fatalf("the first report is answered %d", got)
	}
	return s
}

// report sends a report and returns the status of the response.
func (s *silentTarget) report(t *testing.T, state string, sequence int) int {
	t.Helper()
	return s.send(t, http.MethodPut, fmt.Sprintf(
		`{"address":"%s","born":%d,"info":{"service":"s","version":"v1","zone":"z1","slots":%d},"status":{"state":"%s","sequence":%d,"coldRemainingS":0}}`,
		s.node.settings.Target, s.started, quick.slots, state, sequence))
}

// deregister deregisters the target, as on the users' platform without a body, and returns the
// status of the response.
func (s *silentTarget) deregister(t *testing.T) int {
	t.Helper()
	return s.send(t, http.MethodDelete, "")
}

func (s *silentTarget) send(t *testing.T, method, body string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.node.settings.Listen.Reports+platform.PathReports+s.instance, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := testClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // makes the connection reusable
	return response.StatusCode
}

// restart ends a node and starts it from its settings.
func (f *testFleet) restart(n *testNode) {
	f.t.Helper()
	n.stop()
	<-n.ended
	testClient.CloseIdleConnections() // as in killAll
	f.start(n)
}

// A node acknowledged that its target leaves, and was started again. A report that the
// target had sent before then arrived late, and the target got requests until it exited. The
// departure must outlast the node, also while the store is down and it is not acknowledged.
func TestTargetThatLeftIsNotUsedAfterARestartOfItsNode(t *testing.T) {
	leave := map[string]func(*testing.T, *silentTarget) int{
		"deregistered": func(t *testing.T, s *silentTarget) int { return s.deregister(t) },
		"draining":     func(t *testing.T, s *silentTarget) int { return s.report(t, "draining", 3) },
	}
	for name, leave := range leave {
		for _, storeDown := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, store down %t", name, storeDown), func(t *testing.T) {
				f := newTestFleet(t)
				f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
				leaver, other := f.addSilentTarget(), f.addSilentTarget()
				f.addSilentTarget()
				f.settled(1)
				f.store.SetFaults(standin.Faults{Down: storeDown})
				want := http.StatusOK
				if storeDown {
					want = http.StatusServiceUnavailable
				}
				if got := leave(t, leaver); got != want {
					t.Fatalf("the target that leaves is answered %d, want %d", got, want)
				}
				f.restart(leaver.node)
				eventually(t, "the node serves again", func() bool {
					return leaver.node.config.snapshot().number() == 1 && other.node.fleet.Reachable(leaver.node.settings.Name, time.Now())
				})
				before := len(leaver.Runs())
				leaver.report(t, "ready", 2)
				for i, until := 0, time.Now().Add(2500*time.Millisecond); time.Now().Before(until); i++ {
					other.node.call(t, http.MethodGet, "/s/1", fmt.Sprint("by-other-", i), "")
					leaver.node.call(t, http.MethodGet, "/s/1", fmt.Sprint("by-own-", i), "")
					time.Sleep(10 * time.Millisecond)
				}
				if late := len(leaver.Runs()) - before; late > 0 {
					t.Errorf("%d requests reached the target after its departure", late)
				}
				leaver.started = time.Now().UnixMilli() + 1
				sequence := 0
				eventually(t, "a later process of the target is used", func() bool {
					sequence++
					leaver.report(t, "ready", sequence)
					return leaver.node.call(t, http.MethodGet, "/s/1", "again", "").status == http.StatusOK && len(leaver.Runs()) > before
				})
			})
		}
	}
}

// All nodes stop right after an acknowledgement, so only the store can hold the departure.
func TestDepartureOutlastsAllNodes(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	leaver := f.addSilentTarget()
	f.addSilentTarget()
	f.settled(1)
	if got := leaver.deregister(t); got != http.StatusOK {
		t.Fatalf("the deregistration is answered %d", got)
	}
	f.killAll()
	leaver.report(t, "ready", 2)
	eventually(t, "the late report is applied", func() bool { return leaver.node.localTarget.state(time.Now()).Instance != "" })
	if leaver.node.localTarget.state(time.Now()).Accepting {
		t.Error("the target is in use again")
	}
}

// A target left by a deregistration after its time of day had jumped back. The node recorded its own
// time of day, which was before the start that the target reported, and went on sending requests
// to it. Nor may a report that the target sent before then open it again, at this process or the next.
func TestTargetWhoseClockHasJumpedBackLeaves(t *testing.T) {
	const jump = 2400 * time.Millisecond
	for name, test := range map[string]struct{ reported, restarted bool }{
		"reported": {reported: true}, "restarted node": {reported: true, restarted: true},
		"no report of this process": {}, "no report of this process, restarted node": {restarted: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
			leaver := f.addSilentTargetStartedAt(time.Now().Add(jump))
			f.addSilentTarget()
			f.settled(1)
			if !test.reported {
				f.restart(leaver.node)
			}
			if got := leaver.deregister(t); got != http.StatusOK {
				t.Fatalf("the deregistration is answered %d", got)
			}
			if leaver.node.localTarget.state(time.Now()).Accepting {
				t.Error("the target is in use after its departure was acknowledged")
			}
			if test.restarted {
				f.restart(leaver.node)
			}
			leaver.report(t, "ready", 2)
			eventually(t, "a report is applied", func() bool { return leaver.node.localTarget.state(time.Now()).Instance != "" })
			if leaver.node.localTarget.state(time.Now()).Accepting {
				t.Error("the target is in use after a late report")
			}
		})
	}
}

// A node that reaches neither the store nor a peer can't promise anything that outlasts it, so
// it must not acknowledge a departure. The target must get no more requests all the same.
func TestDepartureThatOneProcessAloneKnowsIsNotAcknowledged(t *testing.T) { leaveInAnOutage(t, 1) }

// What processes hold in memory is lost when all end at once, but a departure that only peers held
// was acknowledged.
func TestDepartureThatOnlyPeersHoldIsNotAcknowledged(t *testing.T) { leaveInAnOutage(t, 3) }

// leaveInAnOutage lets a target of a fleet leave while the store is down, and checks the response
// then and after the outage.
func leaveInAnOutage(t *testing.T, nodes int) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	leaver := f.addSilentTarget()
	for len(f.nodes) < nodes {
		f.addSilentTarget()
	}
	f.settled(1)
	f.store.SetFaults(standin.Faults{Down: true})
	if got := leaver.deregister(t); got != http.StatusServiceUnavailable {
		t.Errorf("answered %d", got)
	}
	if leaver.node.localTarget.state(time.Now()).Accepting {
		t.Error("the target still accepts requests")
	}
	f.store.SetFaults(standin.Faults{})
	eventually(t, "the departure is acknowledged", func() bool { return leaver.deregister(t) == http.StatusOK })
}

// The store may come back from a copy that lacks the departures. The node must write them
// again.
func TestDeparturesAreWrittenAgainAfterTheStoreWentBack(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	leaver := f.addSilentTarget()
	f.settled(1)
	time.Sleep(250 * time.Millisecond) // the nodes write their records
	copied := time.Now()
	if got := leaver.deregister(t); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	f.store.GoBackTo(copied)
	eventually(t, "the store holds the departure again", func() bool {
		value, _ := f.store.Get("vtdepartures", leaver.node.settings.Name)
		return strings.Contains(string(value), leaver.instance)
	})
}

// When the whole fleet starts for the first time, reads of departures that can't exist must
// not load the store. After a restart the settings no longer say so, and they are read.
func TestFirstStartDoesNotReadDepartures(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	f.store.Put("vtdepartures", "n1", []byte(`{"departures":[{"instance":"i-0","started_ms":5}]}`))
	f.adjust = func(s *Settings) { s.FirstStart = true }
	n := f.addSilentTarget().node
	f.settled(1)
	if got := n.localTarget.departures(); len(got) != 0 {
		t.Errorf("%v was read at the first start", got)
	}
	n.settings.FirstStart = false
	f.restart(n)
	eventually(t, "the departures are read", func() bool { return n.localTarget.departures().Includes("i-0", 5) })
}

// All nodes stopped after an acknowledged departure and started in an outage of the store, so
// none could know the departure. A late report made the target one to use again. Only a second
// report shows that the process still runs.
func TestLateReportIsNotTrustedWhileDeparturesAreUnknown(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	leaver := f.addSilentTarget()
	running := f.addSilentTarget()
	f.settled(1)
	if got := leaver.deregister(t); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	f.store.SetFaults(standin.Faults{Down: true})
	f.killAll()
	leaver.report(t, "ready", 2)
	for sequence := 2; sequence < 4; sequence++ {
		running.report(t, "ready", sequence)
	}
	eventually(t, "the target that runs is in use", func() bool { return running.node.localTarget.state(time.Now()).Accepting })
	time.Sleep(departureLoadTimeout)
	if leaver.node.localTarget.state(time.Now()).Accepting {
		t.Error("the target that left is in use again")
	}
	f.store.SetFaults(standin.Faults{})
	eventually(t, "the departure is known", func() bool { return leaver.node.localTarget.departures().Includes(leaver.instance, leaver.started) })
	if leaver.node.localTarget.state(time.Now()).Accepting {
		t.Error("the target that left is in use again after the outage")
	}
}

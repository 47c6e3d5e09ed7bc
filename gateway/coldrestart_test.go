package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenatrestle/platform/standin"
)

// A node that was restarted beside a cold target sent it requests at once, although the process
// before may have sent all that the target tolerates within the same second.
func TestNewProcessSendsNothingToAColdTargetForASecond(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	n := f.add(quick)
	f.add(testTarget{service: "u", slots: 8, work: time.Millisecond}) // has the configuration
	f.settled(1)
	n.target.TurnCold(time.Minute)
	f.restart(n)
	i := 0
	eventually(t, "the target serves", func() bool {
		i++
		return n.call(t, http.MethodGet, "/s/1", fmt.Sprint("r", i), "").status == http.StatusOK
	})
	if first := n.target.Runs()[0].StartTime.Sub(n.startedAt); first < time.Second {
		t.Errorf("the first request reached the target %v after the start of the process", first)
	}
}

// The node took the target for one that had started after it, by their times of day, since the clock had
// jumped back in between, and sent it requests at once. A target that starts with its node is served at
// once, as after a loss of power, whatever the clock says.
func TestNewProcessTellsByTheHealthCheckWhetherItsColdTargetIsOlder(t *testing.T) {
	for name, test := range map[string]struct {
		started time.Duration // from the start of the node
		ahead   time.Duration
		atOnce  bool
	}{
		"older, clock jumped back":      {-300 * time.Millisecond, 2400 * time.Millisecond, false},
		"younger, clock jumped forward": {0, -2400 * time.Millisecond, true},
		"younger, clock without a jump": {0, 0, true},
		"older, clock without a jump":   {-300 * time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
			f.add(testTarget{service: "u", slots: 8, work: time.Millisecond}) // has the configuration
			f.settled(1)
			n := f.addNode(quick)
			target := standin.NewTarget(standin.TargetOptions{
				Instance: "i-cold", Service: "s", DataCentre: "z1", Slots: quick.slots, ReportAddress: n.settings.Listen.Reports,
				ColdDuration: standin.ColdStartDuration + test.started, ClockOffset: test.ahead + test.started,
			})
			if err := standin.StartServer(f.ctx, n.settings.Target, target); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the target reports", func() bool { return target.SendReport(n.settings.Target, false) == nil })
			i := 0
			eventually(t, "the target serves", func() bool {
				i++
				return n.call(t, http.MethodGet, "/s/1", fmt.Sprint("r", i), "").status == http.StatusOK
			})
			after := target.Runs()[0].StartTime.Sub(n.startedAt)
			if atOnce := after < 900*time.Millisecond; atOnce != test.atOnce || !atOnce && after < time.Second {
				t.Errorf("the first request reached the target %v after the start of the process", after)
			}
		})
	}
}

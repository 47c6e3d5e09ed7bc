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

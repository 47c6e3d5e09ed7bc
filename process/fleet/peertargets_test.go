package fleet

import (
	"testing"
	"time"

	"verbenatrestle/process/gate"
)

// Gates share the retry budget of their service equally. Nodes that stand still for a moment,
// or lose their datagrams, must not take themselves for alone: all of them would use the
// whole budget, just as many requests fail.
func TestSilentPeersKeepTheirShareOfTheRetryBudget(t *testing.T) {
	table := NewTable(Settings{UnreachableAfter: 850 * time.Millisecond, ForgetAfter: time.Hour})
	now := time.Unix(1_800_000_000, 0)
	table.Merge(Status{Node: "received", Service: "s", Incarnation: 1, Sequence: 1}, "a", now)
	table.AddDiscovered(Discovered{Node: "discovered", Service: "s", DatagramAddress: "b"}, now)
	table.Merge(Status{Node: "other", Service: "u", Incarnation: 2, Sequence: 1}, "c", now)
	for after, want := range map[time.Duration]int{0: 2, 2 * time.Second: 2, 9 * time.Second: 2, 11 * time.Second: 0} {
		if got := table.PeerTargets("s", retryWindow, now.Add(after)); got != (gate.PeerTargets{Targets: want}) {
			t.Errorf("after %v: %+v, want %d targets", after, got, want)
		}
	}
}

// retryWindow is the time window of the retry budget in the tests.
const retryWindow = 10 * time.Second

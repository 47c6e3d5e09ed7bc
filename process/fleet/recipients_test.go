package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"
)

func sortedKeys(m map[string]float64) []string { return slices.Sorted(maps.Keys(m)) }

// messagesPerSecond counts the messages and statuses that a node of the fleet sends
// in ten seconds, in which its peers answer.
func messagesPerSecond(all []Status, self int) (messages, statuses float64) {
	table := tableOf(all, self, start)
	const interval, seconds = 250 * time.Millisecond, 10
	now := start
	for range int(seconds * time.Second / interval) {
		now = now.Add(interval)
		receiveStatuses(table, all, self, now, func(int) bool { return true })
		table.SelectHeartbeatPeers(selfOf(&all[self]), now)
		for _, r := range table.Recipients(nil, OnInterval, time.Second, now) {
			messages++
			if r.FullStatus {
				statuses++
			}
		}
	}
	return messages / seconds, statuses / seconds
}

// The messages that a node sends each second must not grow with the fleet.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	perSecond := make(map[int]float64)
	for _, size := range []int{96, 295, 1343} {
		all := unevenServices.statuses(size)
		const sample = 8
		for k := range sample {
			messages, _ := messagesPerSecond(all, k*size/sample)
			perSecond[size] += messages / sample
		}
	}
	if perSecond[1343] > 1.25*perSecond[295] || perSecond[295] > perSecond[96] {
		t.Errorf("messages per second by size: %v", perSecond)
	}
}

// A change of anything but the load goes to all heartbeat peers at once, but not to
// the others, and a change of the load to those of the own data centre.
func TestOccasionsHaveTheirRecipients(t *testing.T) {
	all := unevenServices.statuses(295)
	table := tableOf(all, 0, start)
	table.Recipients(nil, OnChange, time.Second, start)
	heartbeatPeers, local := 0, 0
	for _, p := range table.Peers(start) {
		if !p.StatusOnly {
			heartbeatPeers++
			if p.Status.DataCentre == all[0].DataCentre {
				local++
			}
		}
	}
	change := table.Recipients(nil, OnChange, time.Second, start)
	step := table.Recipients(nil, OnLoadStep, time.Second, start)
	if len(change) != heartbeatPeers || !change[0].FullStatus {
		t.Errorf("%d recipients of a change, %d heartbeat peers", len(change), heartbeatPeers)
	}
	if len(step) != local || step[0].FullStatus {
		t.Errorf("%d recipients of a load step, %d local heartbeat peers", len(step), local)
	}
}

// Nodes that have been silent for long are probably gone. They get statuses, so that
// one that comes back without a store is found, but no heartbeats.
func TestSilentPeerGetsStatusesOnly(t *testing.T) {
	table := newTestTable()
	table.Merge(status("a", 1, 1), "a", start)
	table.SelectHeartbeatPeers(Self{Node: "self"}, start)
	now, messages := start.Add(silentAfter), 0
	for range 40 {
		for _, r := range table.Recipients(nil, OnInterval, time.Second, now) {
			messages++
			if !r.FullStatus {
				t.Fatal("a silent peer is sent a heartbeat")
			}
		}
		now = now.Add(250 * time.Millisecond)
	}
	if messages != 10 {
		t.Fatalf("%d messages in ten seconds", messages)
	}
}

// In a large fleet the end of an interval needs no heartbeat shortly after a load step
// was sent, but a peer must not wait for much longer than that.
func TestHeartbeatFollowsLoadStepsSparingly(t *testing.T) {
	all := unevenServices.statuses(295)
	table := tableOf(all, 0, start)
	count := func(occasion Occasion, at time.Duration) (heartbeats int) {
		for _, r := range table.Recipients(nil, occasion, time.Second, start.Add(at)) {
			if !r.FullStatus {
				heartbeats++
			}
		}
		return heartbeats
	}
	table.Recipients(nil, OnChange, time.Second, start)
	local := count(OnLoadStep, 200*time.Millisecond)
	if got := count(OnInterval, 250*time.Millisecond); got != 0 {
		t.Errorf("%d heartbeats 50 ms after a load step", got)
	}
	if got := count(OnInterval, 600*time.Millisecond); got != local {
		t.Errorf("%d heartbeats 400 ms after a load step, want %d", got, local)
	}
}

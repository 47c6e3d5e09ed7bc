package gateway

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
)

const (
	// plannedActivationTime is maxActivationTime for a fleet of the planned size.
	plannedActivationTime = 4 * time.Second
	// storeAnswerTime is the time of a call to a store that is ten times slower than usual.
	storeAnswerTime = 40 * time.Millisecond
	// spreadTime is the time in which a change spreads from the nodes that read the store to
	// all, and plannedSpreadTime that over the slow links of a fleet of the planned size, which
	// TestLargeConfigurationIsActiveInTime bounds.
	spreadTime        = 800 * time.Millisecond
	plannedSpreadTime = 2500 * time.Millisecond
)

// The waits between the loss of all watchers and a change that is active everywhere added up to more
// than the change may take. The change may be acknowledged right after the loss, or right after
// the first reads of the nodes that take the place of the watchers.
func TestLossOfAllWatchersLeavesTimeForAChange(t *testing.T) {
	const read = 3 * storeAnswerTime // list, brief watch, text
	for order, wait := range map[string]time.Duration{
		"right after the loss":       fleet.WatcherTTL + minRoleCheckInterval,
		"right after the first read": fleet.MaxPollGap,
	} {
		if sum := wait + read + spreadTime; sum > maxActivationTime {
			t.Errorf("a change acknowledged %s is active after %v, want at most %v", order, sum, maxActivationTime)
		}
		if sum := wait + read + plannedSpreadTime; sum > plannedActivationTime {
			t.Errorf("planned size: a change acknowledged %s is active after %v, want at most %v", order, sum, plannedActivationTime)
		}
	}
}

// mutableConn is a datagramConn whose messages can be dropped in both directions, as if the
// process had ended.
type mutableConn struct {
	datagramConn
	muted *atomic.Bool
}

// ReadFromUDPAddrPort implements datagramConn.
func (c mutableConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := c.datagramConn.ReadFromUDPAddrPort(b)
		if err != nil || !c.muted.Load() {
			return n, from, err
		}
	}
}

// WriteToUDPAddrPort implements datagramConn.
func (c mutableConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.datagramConn.WriteToUDPAddrPort(b, to)
}

// All nodes that watch the store are lost at once, just before a change and an order. The others
// took them for alive for 2.5 s more, and routed requests by the configuration before.
func TestChangesAreActiveInTimeAfterTheLossOfAllWatchers(t *testing.T) {
	f := newTestFleet(t)
	muted := make(map[string]*atomic.Bool)
	f.prepare = func(n *Node) {
		flag := &atomic.Bool{}
		muted[n.settings().Name] = flag
		n.peers.conn = mutableConn{n.peers.conn, flag}
	}
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	for range 8 {
		f.add(quick)
	}
	f.settled(1)
	eventually(t, "watches of all active watchers", func() bool { return f.store.Watches() >= 2*maxActiveWatchers })
	time.Sleep(2 * time.Second) // the polls of standby nodes that were due at the start are over
	var others []*testNode
	for _, n := range f.nodes {
		if n.store.watching.Load() {
			muted[n.settings.Name].Store(true)
		} else {
			others = append(others, n)
		}
	}
	if len(others) == len(f.nodes) {
		t.Fatal("no node watches the store")
	}
	f.store.Put("config", "main", standin.ConfigForServices(2, "s"))
	f.store.Put("evacuations", "z2", []byte("{}"))
	acked := time.Now()
	for _, n := range others {
		eventually(t, "the configuration and the order are in force", func() bool {
			s := n.config.snapshot()
			return s.number() == 2 && s.isOutOfService("z2")
		})
	}
	if took := time.Since(acked); took > maxActivationTime {
		t.Errorf("in force %v after the acknowledgement, want at most %v", took, maxActivationTime)
	}
}

// A node that starts reaches the store long before its polls begin. The others left the reads to
// it from its first call on, so nobody read the store for up to four seconds.
func TestStartingNodeTakesOverTheReadsWithItsFirstPoll(t *testing.T) {
	f := newTestFleet(t)
	n, err := New(f.newSettings("n1", "s"), &lockedBuffer{})
	if err != nil {
		t.Fatal(err)
	}
	defer n.closeListeners()
	n.store.recordCallResult(nil)
	if n.peers.status(time.Now()).ReachesStore || n.store.watchRole().Active {
		t.Error("the others leave the reads to a node whose polls have not begun")
	}
	n.store.polling.Store(true)
	if !n.peers.status(time.Now()).ReachesStore || !n.store.watchRole().AwaitsWatch {
		t.Error("the node is no watcher although its polls have begun")
	}
	began := time.Now()
	if n.store.waitForNextPoll(context.Background()); time.Since(began) > minRoleCheckInterval {
		t.Errorf("the first poll is due after %v", time.Since(began))
	}
}

package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
	store "verbenatrestle/process/platform"
)

// All processes of a small fleet are killed and start again together. The store lists
// all nodes, but none answers yet. A node must not take that for the first start of the
// fleet, in which it would wait for the others before it reads the configuration.
func TestRestartOfAllNodesIsNoFirstStart(t *testing.T) {
	f := newTestFleet(t)
	a := f.add(quick)
	if !a.store.knowsNoOthers() {
		t.Fatal("knows others though the store lists none")
	}
	var listed []store.Object
	for i := range 10 {
		record, err := json.Marshal(nodeRecord{DataCentre: "z1", Service: "s", Hop: fmt.Sprintf("127.0.0.1:%d", 1+i), Peers: fmt.Sprintf("127.0.0.2:%d", 1+i)})
		if err != nil {
			t.Fatal(err)
		}
		listed = append(listed, store.Object{Key: platform.PrefixNodes + fmt.Sprint("silent-", i), Value: record})
	}
	a.store.addDiscovered(listed)
	if a.store.knowsNoOthers() {
		t.Fatal("ten listed nodes that have not answered yet are taken for none")
	}
}

// All nodes of a large fleet start at once. The store is read by a few; a node that
// knows a peer with a configuration must get the text there, or all links and the store
// are busy with it.
func TestStartingNodeOfALargeFleetLeavesTheStoreToOthers(t *testing.T) {
	for _, announced := range []bool{true, false} {
		f := newTestFleet(t)
		f.store.Put("config", "main", standin.ConfigForServices(3, "s"))
		settings := f.add(quick).settings
		f.settled(3)
		settings.Listen = Listen{
			Callers: freeAddress(t), Hop: freeAddress(t), Readiness: freeAddress(t),
			Reports: freeAddress(t), Peers: freeUDPAddress(t), Metrics: freeAddress(t),
		}
		settings.Name = "starting"
		n, err := New(settings, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.closeListeners)
		now := time.Now()
		for i := range largeFleet {
			n.fleet.AddDiscovered(fleet.Discovered{Node: fmt.Sprint("n-", i), DatagramAddress: fmt.Sprintf("127.0.0.3:%d", 1+i)}, now)
		}
		if announced {
			n.configLag.received(3, 0, now)
		}
		close(n.store.listed)
		if err := n.store.loadInitial(t.Context()); err != nil {
			t.Fatal(err)
		}
		if read := n.config.snapshot().number() == 3; read == announced {
			t.Errorf("a peer has the configuration: %t, read the store: %t", announced, read)
		}
	}
}

// A node of a large fleet starts just before an outage of the store, so the lists in which
// it would find the nodes that started beside it fail. It must not wait for the interval of
// a large fleet, which is minutes, nor give up the lists that follow a start.
func TestFailedNodeListIsRepeatedSoon(t *testing.T) {
	f := newTestFleet(t)
	n, err := New(f.newSettings("listing", "s"), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.closeListeners)
	now := time.Now()
	for i := range 1342 {
		n.fleet.Merge(fleet.Status{Node: fmt.Sprint("n-", i), Incarnation: uint64(i + 1), Sequence: 1}, fmt.Sprintf("127.0.%d.6:%d", i/250, 1+i), now)
	}
	delays := relistDelays
	for range 5 {
		if got := n.store.nextListInterval(true, &delays); got > 30*time.Second || len(delays) != len(relistDelays) {
			t.Fatalf("repeated after %v, with %d lists left", got, len(delays))
		}
	}
	for _, want := range relistDelays {
		if got := n.store.nextListInterval(false, &delays); got != want {
			t.Errorf("next list after %v, want %v", got, want)
		}
	}
	if got := n.store.nextListInterval(false, &delays); got < time.Minute {
		t.Errorf("lists go on every %v", got)
	}
}

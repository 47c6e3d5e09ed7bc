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

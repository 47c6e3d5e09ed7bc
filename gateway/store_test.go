package gateway

import (
	"encoding/json"
	"fmt"
	"testing"

	"verbenatrestle/platform"
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

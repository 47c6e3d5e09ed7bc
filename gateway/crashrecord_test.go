package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"verbenatrestle/platform/standin"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// storedRecord returns the record of a node in the store.
func (f *testFleet) storedRecord(n *testNode) nodeRecord {
	f.t.Helper()
	value, _ := f.store.Get("vtnodes", n.settings.Name)
	record, err := decodeRecord(value)
	if err != nil {
		f.t.Fatal(err)
	}
	return record
}

// A node that starts may read a list of the records that is some seconds old, or the last
// write of its killed process may arrive after that. Its next write must not remove the crashes
// from the store: after a kill of all nodes, the request would crash targets again.
func TestRecordWriteKeepsCrashesThatTheStoreHolds(t *testing.T) {
	const poisonous = request.Fingerprint(7)
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	n := f.add(quick)
	f.settled(1)
	eventually(t, "the record is stored", func() bool { value, _ := f.store.Get("vtnodes", n.settings.Name); return value != nil })
	record := f.storedRecord(n)
	for _, instance := range []string{"i-1@1", "i-1@2"} {
		record.Crashes = append(record.Crashes, crashRecord{
			Instance: instance, AtMillis: time.Now().UnixMilli(), Requests: []string{poisonous.String()},
		})
	}
	late, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	before := f.store.Put("vtnodes", n.settings.Name, late)
	n.store.requestRecordWrite()
	eventually(t, "the record is written again", func() bool { _, revision := f.store.Get("vtnodes", n.settings.Name); return revision > before })
	if kept := f.storedRecord(n).Crashes; len(kept) != len(record.Crashes) {
		t.Errorf("the store holds %d crashes, want %d", len(kept), len(record.Crashes))
	}
	if verdict, _ := n.crashes.table.Check(poisonous, time.Now()); verdict != quarantine.Quarantined {
		t.Errorf("the request is %v at the node, want quarantined", verdict)
	}
}

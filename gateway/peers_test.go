package gateway

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
)

// A peer keeps the status with the highest sequence number. If that number goes to an older
// state of the target, the peer sends it nothing until the next status is due, and answers
// 503 although the target has free slots.
func TestLaterStatusNeverHoldsAnOlderState(t *testing.T) {
	const readers, statusesPerReader = 4, 5000
	f := newTestFleet(t)
	n, err := New(f.newSettings("n1", "s"), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.closeListeners)
	n.departures.loaded.Store(true)
	var reading, reporting sync.WaitGroup
	done := make(chan struct{})
	reporting.Go(func() {
		for slots := 1; ; slots++ { // the number of slots counts the reports
			select {
			case <-done:
				return
			default:
			}
			n.localTarget.applyReport(gate.Report{Instance: "i-1", Service: "s", StartedMillis: 1, Sequence: int64(slots), Slots: slots})
		}
	})
	sent := make([][]fleet.Status, readers)
	for i := range sent {
		reading.Go(func() {
			for range statusesPerReader {
				sent[i] = append(sent[i], n.peers.status(time.Now()))
			}
		})
	}
	reading.Wait()
	close(done)
	reporting.Wait()
	statuses := slices.Concat(sent...)
	slices.SortFunc(statuses, func(a, b fleet.Status) int { return cmp.Compare(a.Sequence, b.Sequence) })
	older := 0
	for i := range statuses[1:] {
		if statuses[i+1].Slots < statuses[i].Slots {
			older++
		}
	}
	if older > 0 {
		t.Errorf("%d of %d statuses hold an older state than the status before", older, len(statuses))
	}
}

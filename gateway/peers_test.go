package gateway

import (
	"cmp"
	"context"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
	n.departures.knowledge.Store(int32(departuresKnown))
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

// brokenConn is a UDP socket whose reads fail at once.
type brokenConn struct {
	datagramConn
	reads atomic.Int64
}

// ReadFromUDPAddrPort implements datagramConn.
func (c *brokenConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	c.reads.Add(1)
	return 0, netip.AddrPort{}, syscall.ENETDOWN
}

// The reads of a socket failed at once and were repeated without a wait, which took the whole
// processor share of the node.
func TestReceiveWaitsAfterAReadThatFailed(t *testing.T) {
	const duration = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	conn := &brokenConn{}
	exchange := &statusExchange{conn: conn}
	exchange.receive(ctx)
	if got, most := conn.reads.Load(), int64(duration/receiveRetryDelay)+1; got < 2 || got > most {
		t.Errorf("%d reads within %v, want 2 to %d", got, duration, most)
	}
}

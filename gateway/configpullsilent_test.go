package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
)

// A node that starts while the store is silent asked the one peer in its data centre again and
// again, which it could not fetch from, and waited for the store in between. It had no configuration
// for as long as that went on, although peers elsewhere have it.
func TestNodeFetchesElsewhereWhileStoreAndNeighbourAreSilent(t *testing.T) {
	const bound = 2 * time.Second // in which a change has to be active everywhere
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(2, "s"))
	far := f.add(quick)
	f.settled(2)
	f.store.SetFaults(standin.Faults{Unresponsive: true})
	silent, err := net.Listen("tcp4", nextIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	n, err := New(f.newSettings("starting", "s"), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.closeListeners)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	receive := func(sequence uint64) {
		for i, s := range []fleet.Status{
			{Node: "near", DataCentre: "z1", HopAddress: silent.Addr().String()},
			{Node: "far", DataCentre: "z2", HopAddress: far.settings.Listen.Hop},
		} {
			s.Incarnation, s.Sequence, s.ConfigNumber = uint64(i+1), sequence, 2
			n.fleet.Merge(s, fmt.Sprintf("127.0.0.%d:1", i+1), time.Now())
		}
	}
	receive(1)
	go func() {
		for sequence := uint64(2); wait.For(ctx, heartbeatInterval); sequence++ {
			receive(sequence)
		}
	}()
	n.configLag.received(2, 0, time.Now())
	started := time.Now()
	n.pullConfig(ctx)
	if took, number := time.Since(started), n.config.snapshot().number(); number != 2 || took > bound {
		t.Errorf("configuration %d after %v, want 2 within %v", number, took, bound)
	}
	if n.metrics.configFetchesFailed.Count() == 0 {
		t.Error("the neighbour was not asked")
	}
}

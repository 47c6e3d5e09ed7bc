package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Configurations follow each other faster than one spreads. A node has to fetch the
// newest one that any peer has, from its own data centre if possible, and not from a
// peer that is silent or to which a hop just failed.
func TestConfigHolderHasTheNewest(t *testing.T) {
	table := newTestTable()
	add := func(node, dataCentre string, number uint64, at time.Time) {
		s := status(node, uint64(len(table.peers)+1), 1)
		s.DataCentre, s.ConfigNumber = dataCentre, number
		table.Merge(s, node, at)
	}
	if _, ok := table.ConfigHolder(0, "a", 0, start); ok {
		t.Fatal("a holder without peers")
	}
	now := start.Add(2 * time.Second)
	add("silent", "a", 9, start)
	add("old", "a", 3, now)
	add("remote", "b", 5, now)
	if h, ok := table.ConfigHolder(3, "a", 0.99, now); !ok || h.Node != "remote" || h.Number != 5 {
		t.Fatalf("%+v, %t", h, ok)
	}
	if h, ok := table.ConfigHolder(5, "a", 0, now); ok {
		t.Fatalf("%+v is not newer", h)
	}
	for i := range 4 {
		add(fmt.Sprint("local-", i), "a", 5, now)
	}
	asked := make(map[string]bool)
	for pick := 0.0; pick < 1; pick += 0.1 {
		h, _ := table.ConfigHolder(3, "a", pick, now)
		asked[h.Node] = true
	}
	if len(asked) != 4 || asked["remote"] {
		t.Fatalf("asked %v", asked)
	}
	table.HopFailed("local-0", now)
	if h, _ := table.ConfigHolder(3, "a", 0, now); h.Node == "local-0" {
		t.Fatal("asks a peer to which a hop just failed")
	}
}

// A node denies a request by its configuration only if no peer in reach has a newer
// one. A peer that has been silent since it told of one doesn't count: nobody can
// fetch it there.
func TestNewestConfigIgnoresSilentPeers(t *testing.T) {
	table := newTestTable()
	if newest := table.NewestConfig(start); newest != 0 {
		t.Fatalf("%d without peers", newest)
	}
	for i, number := range []uint64{7, 6, 5} {
		s := status(fmt.Sprint("n", i), uint64(i+1), 1)
		s.ConfigNumber = number
		table.Merge(s, s.Node, start.Add(time.Duration(i%2)*time.Minute))
	}
	if newest := table.NewestConfig(start); newest != 7 {
		t.Fatalf("newest %d", newest)
	}
	if newest := table.NewestConfig(start.Add(time.Minute)); newest != 6 {
		t.Fatalf("newest %d of the peer that was heard", newest)
	}
	if newest := table.NewestConfig(start.Add(2 * time.Minute)); newest != 0 {
		t.Fatalf("newest %d of silent peers", newest)
	}
}

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
	// This node and "old" want it from one holder, so half of the picks may ask.
	for pick := 0.0; pick < 0.5; pick += 0.1 {
		if h, ok := table.ConfigHolder(3, "a", pick, now); !ok || h.Node != "remote" || h.Number != 5 {
			t.Fatalf("pick %v: %+v, %t", pick, h, ok)
		}
	}
	if h, ok := table.ConfigHolder(5, "a", 0, now); ok {
		t.Fatalf("%+v is not newer", h)
	}
	for i := range 4 {
		add(fmt.Sprint("local-", i), "a", 5, now)
	}
	asked := make(map[string]bool)
	for pick := 0.0; pick < 1; pick += 0.1 {
		h, ok := table.ConfigHolder(3, "a", pick, now)
		if !ok {
			t.Fatalf("pick %v: four holders for two nodes, and none may be asked", pick)
		}
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

// The first holder of a configuration is busy with other transfers. A node has to ask
// another one, and may come back to the first only after a while. Requests to the
// target beside the busy node go on.
func TestBusyConfigHolderIsPassedOver(t *testing.T) {
	table := newTestTable()
	for i, node := range []string{"first", "second"} {
		s := status(node, uint64(i+1), 1)
		s.DataCentre, s.ConfigNumber = "a", 4
		table.Merge(s, node, start)
	}
	until := start.Add(100 * time.Millisecond)
	table.AvoidConfigHolder("first", until)
	for pick := 0.0; pick < 1; pick += 0.25 {
		if h, ok := table.ConfigHolder(3, "a", pick, start); !ok || h.Node != "second" {
			t.Fatalf("%+v, %t", h, ok)
		}
	}
	table.AvoidConfigHolder("second", until.Add(time.Millisecond))
	if h, ok := table.ConfigHolder(3, "a", 0, start); ok {
		t.Fatalf("asks %s, which is busy", h.Node)
	}
	if !table.Reachable("first", start) {
		t.Fatal("a busy holder gets no requests")
	}
	if h, ok := table.ConfigHolder(3, "a", 0, until); !ok || h.Node != "first" {
		t.Fatalf("%+v, %t", h, ok)
	}
}

// Sixty nodes learn of a new configuration that one node has. If all asked it at once,
// the connections alone would keep a small VM busy for longer than a fetch may take.
// About one may ask for each holder; in other data centres than its own about one for
// the whole fleet.
func TestFewNodesAskTheFirstHolders(t *testing.T) {
	table := newTestTable()
	add := func(node, dataCentre string, number uint64) {
		s := status(node, uint64(len(table.peers)+1), 1)
		s.DataCentre, s.ConfigNumber = dataCentre, number
		table.Merge(s, node, start)
	}
	for i := range 60 {
		add(fmt.Sprint("outdated-", i), fmt.Sprint("dc-", i%3), 3)
	}
	const picks = 10_000
	asking := func(dataCentre string) (share float64) {
		for i := range picks {
			if _, ok := table.ConfigHolder(3, dataCentre, float64(i)/picks, start); ok {
				share++
			}
		}
		return share / picks
	}
	add("first", "dc-0", 4)
	if own, other := asking("dc-0"), asking("dc-1"); own < 0.9/21 || own > 1.1/21 || other < 0.9/61 || other > 1.1/61 {
		t.Fatalf("share of the nodes that ask one holder: %v in its data centre, %v elsewhere", own, other)
	}
	for i := range 9 {
		add(fmt.Sprint("next-", i), "dc-0", 4)
	}
	if own := asking("dc-0"); own < 9.9/21 || own > 10.1/21 {
		t.Fatalf("share of the nodes that ask ten holders: %v", own)
	}
	for i := range 20 {
		add(fmt.Sprint("last-", i), "dc-0", 4)
	}
	if own := asking("dc-0"); own != 1 {
		t.Fatalf("share of the nodes that ask when most have it: %v", own)
	}
}

// A node that must not act at the same moment as all outdated ones estimates their number:
// in a large fleet nearly all nodes may be outdated, or it alone.
func TestOutdatedNodesAreEstimated(t *testing.T) {
	for _, outdated := range []int{0, 30, 60} {
		table := newTestTable()
		for i := range 60 {
			s := status(fmt.Sprint("n-", i), uint64(i+1), 1)
			s.ConfigNumber = 4
			if i < outdated {
				s.ConfigNumber = 3
			}
			table.Merge(s, s.Node, start)
		}
		for i := range 939 {
			table.AddDiscovered(Discovered{Node: fmt.Sprint("silent-", i), DatagramAddress: fmt.Sprint("silent-", i)}, start)
			table.peers[fmt.Sprint("silent-", i)].StatusOnly = true
		}
		if got, want := table.OutdatedNodes(4, start), 1000*(outdated+1)/61; got != want {
			t.Errorf("%d of 60 peers are outdated: estimated %d of 1,000, want %d", outdated, got, want)
		}
	}
}

// The peer in the same data centre failed to send its configuration and was asked again as soon as the
// time was over for which it is avoided, although peers elsewhere have the configuration too.
func TestConfigHolderThatFailedGoesBehindOthers(t *testing.T) {
	table := newTestTable()
	for i, node := range []string{"near", "far"} {
		s := status(node, uint64(i+1), 1)
		s.DataCentre, s.ConfigNumber = node, 4
		table.Merge(s, node, start)
	}
	holder := func(at time.Time) string {
		h, _ := table.ConfigHolder(3, "near", 0, at)
		return h.Node
	}
	if got := holder(start); got != "near" {
		t.Fatalf("asks %q before any failure, want near", got)
	}
	until := start.Add(100 * time.Millisecond)
	table.ConfigHolderFailed("near", until, start)
	for _, at := range []time.Time{start, until, start.Add(400 * time.Millisecond)} {
		if got := holder(at); got != "far" {
			t.Errorf("asks %q %v after the failure, want far", got, at.Sub(start))
		}
	}
	table.ConfigHolderFailed("far", until, start)
	if got := holder(until); got != "near" {
		t.Errorf("asks %q if both failed, want near", got)
	}
}

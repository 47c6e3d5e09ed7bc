package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// never excludes no node.
func never(string) bool { return false }

// coordinatorTable returns the table of a node that has exchanged datagrams with the others.
func coordinatorTable(self string, nodes []string, now time.Time) *Table {
	table := NewTable(Settings{UnreachableAfter: time.Second, ForgetAfter: time.Hour, AvoidFor: time.Second})
	for i, node := range nodes {
		if node != self {
			table.Merge(Status{Node: node, Incarnation: uint64(i + 1), Sequence: 1, CountsQuotas: true, ConfigNumber: 1}, node+":1", now)
		}
	}
	return table
}

// Nodes that disagree on the coordinator of an organisation grant its quota twice. If a node
// is lost, only what it coordinated may move, since a new coordinator does not know what was
// granted.
func TestNodesAgreeOnCoordinators(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := []string{"n1", "n2", "n3", "n4", "n5"}
	load := make(map[string]int)
	for i := range 200 {
		name := fmt.Sprint("organisation ", i)
		var chosen string
		for _, self := range nodes {
			c := coordinatorTable(self, nodes, now).Coordinator(name, self, never, now)
			if c.Node == "" {
				c.Node = self
			}
			if chosen != "" && c.Node != chosen {
				t.Fatalf("%s: %s for %s, %s for another", name, c.Node, self, chosen)
			}
			chosen = c.Node
			if c.Reached != len(nodes) || c.Known != len(nodes) {
				t.Fatalf("%s reaches %d of %d nodes", self, c.Reached, c.Known)
			}
		}
		load[chosen]++
		lost := coordinatorTable("n1", nodes, now)
		lost.Merge(Status{Node: "n5", Incarnation: 5, Sequence: 2, Stopping: true}, "n5:1", now)
		c := lost.Coordinator(name, "n1", never, now)
		if c.Node == "" {
			c.Node = "n1"
		}
		if chosen != "n5" && c.Node != chosen || c.Node == "n5" || c.Known != len(nodes)-1 {
			t.Fatalf("%s moves from %s to %s without n5, of %d nodes", name, chosen, c.Node, c.Known)
		}
	}
	for _, node := range nodes {
		if load[node] < 200/len(nodes)/2 {
			t.Errorf("%s coordinates only %d of 200 organisations", node, load[node])
		}
	}
}

// A silent node, and one of an earlier build, can't be the coordinator. The silent one may be
// at work in another part of a divided system, which has its own part of the quota.
func TestSilentAndEarlierNodesAreNoCoordinators(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := coordinatorTable("n1", []string{"n1", "n2"}, now)
	table.Merge(Status{Node: "n3", Incarnation: 3, Sequence: 1}, "n3:1", now.Add(2*time.Second))
	for i := range 50 {
		c := table.Coordinator(fmt.Sprint(i), "n1", never, now.Add(2*time.Second))
		if c.Node != "" || c.Reached != 2 || c.Known != 3 {
			t.Fatalf("%+v", c)
		}
	}
}

// Statuses of most nodes of a large fleet arrive minutes after a start. Until then nodes must
// agree by the names that were discovered, or many coordinators would each grant the quota.
func TestNodesOfALargeFleetAgreeOnCoordinatorsFromTheStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := make([]string, 240)
	for i := range nodes {
		nodes[i] = fmt.Sprint("n", i)
	}
	chosen := make(map[string]bool)
	for i, self := range nodes {
		table := NewTable(Settings{UnreachableAfter: time.Second, ForgetAfter: time.Hour, AvoidFor: time.Second})
		for j, node := range nodes {
			if node != self {
				table.AddDiscovered(Discovered{Node: node, DataCentre: "z", DatagramAddress: node + ":1"}, now)
			}
			if j%7 == i%7 && node != self { // some statuses have arrived
				table.Merge(Status{Node: node, Incarnation: uint64(j + 1), Sequence: 1, DataCentre: "z", CountsQuotas: true, ConfigNumber: 1}, node+":1", now)
			}
		}
		table.SelectHeartbeatPeers(Self{Node: self, DataCentre: "z"}, now)
		c := table.Coordinator("acme", self, never, now)
		if c.Node == "" {
			c.Node = self
		}
		chosen[c.Node] = true
	}
	if len(chosen) != 1 {
		t.Errorf("%d coordinators of one organisation", len(chosen))
	}
}

// A node that takes over since it alone does not reach the coordinator granted the whole quota a
// second time. It must know whom to ask.
func TestNextCoordinatorKnowsARelay(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := []string{"n1", "n2", "n3", "n4"}
	slices.SortFunc(nodes, func(a, b string) int { return cmp.Compare(coordinatorRank("acme", b), coordinatorRank("acme", a)) })
	first, second, third, last := nodes[0], nodes[1], nodes[2], nodes[3]
	withoutFirst := func(node string) bool { return node == first }
	for _, self := range nodes {
		c := coordinatorTable(self, nodes, now).Coordinator("acme", self, never, now)
		if c.Relay != (Relay{}) {
			t.Errorf("%s: %+v although all are reached", self, c)
		}
	}
	table := coordinatorTable(second, nodes, now)
	if c := table.Coordinator("acme", second, withoutFirst, now); c.Node != "" || c.Relay != (Relay{Node: third, DatagramAddress: third + ":1"}) {
		t.Errorf("the second one: %+v", c)
	}
	if c := coordinatorTable(last, nodes, now).Coordinator("acme", last, withoutFirst, now); c.Node != second || c.Relay != (Relay{}) {
		t.Errorf("the last one: %+v", c)
	}
	if address, known := table.DatagramAddress(1); !known || address != nodes[0]+":1" {
		t.Errorf("%s, %v for the first node", address, known)
	}
	table.Merge(Status{Node: first, Incarnation: 1, Sequence: 2, Stopping: true}, first+":1", now)
	if c := table.Coordinator("acme", second, withoutFirst, now); c.Relay != (Relay{}) {
		t.Errorf("%+v for a node that stops as planned", c)
	}
}

// A coordinator that was restarted and had no configuration yet knew no quota, and granted all that
// was asked for. The next node has to take its place, also in its own view.
func TestNodeWithoutConfigurationIsNoCoordinator(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := []string{"n1", "n2", "n3", "n4"}
	slices.SortFunc(nodes, func(a, b string) int { return cmp.Compare(coordinatorRank("acme", b), coordinatorRank("acme", a)) })
	first, second, last := nodes[0], nodes[1], nodes[3]
	for _, self := range []string{second, last} {
		table := coordinatorTable(self, nodes, now)
		table.Merge(Status{Node: first, Incarnation: 99, Sequence: 1, CountsQuotas: true}, first+":1", now)
		c := table.Coordinator("acme", self, never, now)
		if c.Node == "" {
			c.Node = self
		}
		if c.Node != second || c.Relay != (Relay{}) {
			t.Errorf("%s: %+v, want %s", self, c, second)
		}
	}
	itself := func(node string) bool { return node == first }
	if c := coordinatorTable(first, nodes, now).Coordinator("acme", first, itself, now); c.Node != second {
		t.Errorf("the node without a configuration: %+v, want %s", c, second)
	}
}

// Two nodes that had started while the store turned them away knew all nodes but each other. Each took
// itself for the coordinator and granted the whole quota.
func TestNodeThatKnowsFewerNodesThanItsPeersAsksOneOfThem(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	slices.SortFunc(nodes, func(a, b string) int { return cmp.Compare(coordinatorRank("acme", b), coordinatorRank("acme", a)) })
	first, second := nodes[0], nodes[1]
	// tableOf returns the table of a node that does not know another one. Its peers claim to know a
	// number of nodes.
	tableOf := func(self, unknown string, claims ...int) *Table {
		table := NewTable(Settings{UnreachableAfter: time.Second, ForgetAfter: time.Hour, AvoidFor: time.Second})
		for i, node := range nodes {
			if node != self && node != unknown {
				table.Merge(Status{Node: node, Incarnation: uint64(i + 1), Sequence: 1, CountsQuotas: true, ConfigNumber: 1, KnownNodes: claims[i%len(claims)]}, node+":1", now)
			}
		}
		return table
	}
	for name, test := range map[string]struct {
		table       *Table
		self        string
		relay, node string
		known       int
	}{
		"the second, peers know more":     {tableOf(second, first, len(nodes)), second, nodes[2], "", len(nodes)},
		"the first, peers know more":      {tableOf(first, second, len(nodes)), first, nodes[2], "", len(nodes)},
		"only the last one knows more":    {tableOf(second, first, 5, 5, 5, 5, 5, 6), second, nodes[5], "", len(nodes)},
		"peers know as many":              {tableOf(second, first, len(nodes)-1), second, "", "", len(nodes) - 1},
		"peers of an earlier build":       {tableOf(second, first, 0), second, "", "", len(nodes) - 1},
		"another one is the coordinator":  {tableOf(nodes[2], first, len(nodes)), nodes[2], "", second, len(nodes)},
		"all are known, some are counted": {tableOf(first, "", 3, 4), first, "", "", len(nodes)},
	} {
		c := test.table.Coordinator("acme", test.self, never, now)
		if c.Node != test.node || c.Relay.Node != test.relay || c.Known != test.known {
			t.Errorf("%s: %+v, want %+v", name, c, test)
		}
	}
	lost := tableOf(second, first, len(nodes))
	lost.SelectHeartbeatPeers(Self{Node: second}, now)
	if c := lost.Coordinator("acme", second, never, now.Add(time.Minute)); c.Relay.Node != "" && c.Known != len(nodes)-1 {
		t.Errorf("%+v by the claims of peers that are silent", c)
	}
	if got := tableOf(first, "", 0).ActiveNodes(); got != len(nodes) {
		t.Errorf("%d active nodes", got)
	}
}

package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenatrestle/process/fleet"
)

// linkConn is a socket whose links to other addresses can be cut.
type linkConn struct {
	datagramConn
	mu  sync.Mutex
	cut map[string]bool
}

func (c *linkConn) isCut(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[address.String()]
}

func (c *linkConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := c.datagramConn.ReadFromUDPAddrPort(b)
		if err != nil || !c.isCut(from) {
			return n, from, err
		}
	}
}

func (c *linkConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if c.isCut(to) {
		return len(b), nil
	}
	return c.datagramConn.WriteToUDPAddrPort(b, to)
}

// cutLink cuts the link between two nodes.
func cutLink(a, b *testNode) {
	for _, pair := range [][2]*testNode{{a, b}, {b, a}} {
		c := pair[0].peers.conn.(*linkConn)
		c.mu.Lock()
		c.cut[pair[1].settings.Listen.Peers] = true
		c.mu.Unlock()
	}
}

// precedes reports whether a node is the coordinator of acme rather than another one.
func precedes(node, other string) bool {
	now := time.Now()
	table := fleet.NewTable(fleet.Settings{UnreachableAfter: time.Second, ForgetAfter: time.Hour})
	table.Merge(fleet.Status{Node: other, Incarnation: 1, Sequence: 1, CountsQuotas: true, ConfigNumber: 1}, other, now)
	return table.Coordinator("acme", node, func(string) bool { return false }, now).Node == ""
}

// linkedFleet starts four nodes and returns them in their order as coordinators of acme, which may
// send 40 requests a second and 20 at once. The first one has no target, so no hop shows that it is
// reached.
func linkedFleet(t *testing.T) ([]*testNode, *testFleet, *headerRecorder) {
	f := newTestFleet(t)
	f.prepare = func(n *Node) { n.peers.conn = &linkConn{datagramConn: n.peers.conn, cut: make(map[string]bool)} }
	limited := acme
	limited.rate, limited.burst = 40, 20
	f.store.Put("config", "main", configWithOrganisations(1, []organisation{limited, beta}, "s"))
	recorder := &headerRecorder{headers: map[string][]http.Header{}}
	names := []string{"n1", "n2", "n3", "n4"}
	slices.SortFunc(names, func(a, b string) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	nodes := make([]*testNode, len(names))
	for i := range names {
		tt := testTarget{service: "s", slots: 32, work: time.Millisecond}
		at := slices.Index(names, fmt.Sprint("n", i+1))
		if at == 0 {
			nodes[at] = f.addNode(testTarget{})
			continue
		}
		nodes[at] = f.add(tt)
		recorder.record(nodes[at].target, "/lose")
	}
	eventually(t, "all nodes reach each other", func() bool {
		for _, n := range nodes {
			for _, other := range nodes {
				if n != other && !n.fleet.Reachable(other.settings.Name, time.Now()) {
					return false
				}
			}
			if n.config.snapshot().number() != 1 || len(n.candidates("s", n.config.snapshot(), time.Now())) != len(nodes)-1 {
				return false
			}
		}
		return true
	})
	return nodes, f, recorder
}

// awaitLoss waits until a node does not reach another one.
func awaitLoss(t *testing.T, n, lost *testNode) {
	t.Helper()
	eventually(t, "the loss is noticed", func() bool { return !n.fleet.Reachable(lost.settings.Name, time.Now()) })
}

// floodAll sends many times the quota to nodes.
func floodAll(f *testFleet, nodes []*testNode, length time.Duration) map[int]int {
	flood := newQuotaLoad(f, "key-acme-1", "/s/x")
	for _, n := range nodes {
		flood.start(n, 8*time.Millisecond, length)
	}
	return flood.finish()
}

// checkMostOfQuota fails the test unless the targets got about as many requests of acme as belong
// to a coordinator that reaches three of four nodes, itself included, and at most its whole quota.
func checkMostOfQuota(t *testing.T, recorder *headerRecorder, length time.Duration) {
	t.Helper()
	checkBelow(t, recorder, length)
	if got := recorder.arrivals("acme"); float64(got) < 0.8*40*length.Seconds()*3/4 {
		t.Errorf("only %d requests reached targets within %v", got, length)
	}
}

// The link between the coordinator and the node that would be the next one is cut. That node
// granted the whole quota to itself, and the coordinator granted it to the others.
func TestCutLinkDoesNotDoubleTheQuota(t *testing.T) {
	nodes, f, recorder := linkedFleet(t)
	cutLink(nodes[0], nodes[1])
	awaitLoss(t, nodes[1], nodes[0])
	const length = 4 * time.Second
	floodAll(f, nodes, length)
	checkMostOfQuota(t, recorder, length)
}

// The link between the coordinator and another node is cut. The node that it asks instead must
// grant nothing beside the coordinator, and leave all of the quota to be used.
func TestNodeThatIsNotTheCoordinatorPassesMessagesOn(t *testing.T) {
	nodes, f, recorder := linkedFleet(t)
	cutLink(nodes[0], nodes[3])
	awaitLoss(t, nodes[3], nodes[0])
	const length = 4 * time.Second
	statuses := floodAll(f, nodes[3:], length)
	checkMostOfQuota(t, recorder, length)
	if statuses[http.StatusOK]+statuses[http.StatusTooManyRequests] != sum(statuses) {
		t.Errorf("statuses %v, want only 200 and 429", statuses)
	}
}

// If the coordinator is lost to all others, the next one must take over. It must not wait for one
// that nobody reaches.
func TestNextCoordinatorTakesOverIfOthersAgree(t *testing.T) {
	nodes, f, recorder := linkedFleet(t)
	for _, n := range nodes[1:] {
		cutLink(nodes[0], n)
	}
	for _, n := range nodes[1:] {
		awaitLoss(t, n, nodes[0])
	}
	const length = 4 * time.Second
	statuses := floodAll(f, nodes[1:], length)
	checkMostOfQuota(t, recorder, length)
	if statuses[http.StatusOK]+statuses[http.StatusTooManyRequests] != sum(statuses) {
		t.Errorf("statuses %v, want only 200 and 429", statuses)
	}
}

// Two nodes were started again while the store turned them away, so they learnt of all nodes but each other.
// Both took themselves for the coordinator, and each granted the whole quota.
func TestNodesThatDoNotKnowEachOtherDoNotDoubleTheQuota(t *testing.T) {
	nodes, f, recorder := linkedFleet(t)
	for _, n := range nodes[:2] {
		n.stop()
		<-n.ended
		n.settings.Store = freeAddress(t)
	}
	testClient.CloseIdleConnections() // as in killAll
	for _, n := range nodes[:2] {
		f.start(n)
	}
	for _, n := range nodes[:2] {
		eventually(t, "the node has the configuration and its peers", func() bool {
			return n.config.snapshot().number() == 1 && n.fleet.Reachable(nodes[2].settings.Name, time.Now()) && n.fleet.Reachable(nodes[3].settings.Name, time.Now())
		})
	}
	if _, known := nodes[1].fleet.Peer(nodes[0].settings.Name); known {
		t.Fatal("the two nodes know each other")
	}
	const length = 4 * time.Second
	floodAll(f, nodes, length)
	checkMostOfQuota(t, recorder, length)
}

package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Coordinator is the node that counts the requests of an organisation, as one node sees it.
type Coordinator struct {
	// Node names the node, and DatagramAddress is where it takes datagrams. Both are empty
	// if it is this node.
	Node, DatagramAddress string
	// Incarnation identifies the run of that node's process. It is zero for this node.
	Incarnation uint64
	// Relay is only set if this node would be the coordinator, but there may be another one:
	// it is the next node in the order if this one does not reach all, and one of those that
	// know the most nodes if this one knows fewer. The other one may be lost, or at work for
	// the other nodes.
	Relay Relay
	// StatusOnly means that the loss of the node is noticed late.
	StatusOnly bool
	// Reached counts the nodes that this one reaches, itself included, and Known all that it or
	// one of those knows.
	Reached, Known int
}

// Relay is a node that messages to a coordinator may pass.
type Relay struct {
	// Node, DatagramAddress and StatusOnly are as in Coordinator.
	Node, DatagramAddress string
	StatusOnly            bool
}

// Coordinator returns the coordinator of a name: of the nodes that count, the one with the
// highest hash of its own name and that one. So nodes that reach the same others agree on it,
// and the loss of a node moves only what it coordinated. Self is the name of this node.
// A node that has started while it did not reach the store may not know the others that did so
// as well, so one that knows fewer nodes than its peers does not rely on its own order.
// Nodes that shut down or have no configuration, and so know no quota, are left out, and those
// that excluded reports, which may be this node too. Nodes that were only discovered so far are
// asked, or nodes of a large fleet would disagree for minutes.
func (t *Table) Coordinator(name, self string, excluded func(node string) bool, now time.Time) Coordinator {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := Coordinator{Reached: 1, Known: 1}
	own := coordinatorRank(name, self)
	if excluded(self) {
		own = 0
	}
	var highest, second, missing uint64
	var relay Relay
	var informed *Peer
	for _, p := range t.peers {
		if p.Status.Stopping {
			continue
		}
		chosen.Known++
		reached := t.reachedLately(p, now)
		if reached {
			chosen.Reached++
			if !excluded(p.Status.Node) && p.knowsMoreThan(informed, name) {
				informed = p
			}
		}
		if !p.canCoordinate() {
			continue
		}
		switch rank := coordinatorRank(name, p.Status.Node); {
		case !reached || excluded(p.Status.Node):
			missing = max(missing, rank)
		case rank > max(own, highest):
			highest = rank
			chosen.Node, chosen.DatagramAddress = p.Status.Node, p.DatagramAddress
			chosen.Incarnation, chosen.StatusOnly = p.Status.Incarnation, p.StatusOnly
		case rank > second:
			second, relay = rank, p.relay()
		}
	}
	if chosen.Node == "" && missing > own {
		chosen.Relay = relay
	}
	if informed != nil && informed.Status.KnownNodes > chosen.Known {
		chosen.Known = informed.Status.KnownNodes
		if chosen.Node == "" {
			chosen.Relay = informed.relay()
		}
	}
	return chosen
}

// knowsMoreThan reports whether a peer knows more nodes than another one, which may be nil. Of
// those that know as many, it is the first one in the order for a name.
func (p *Peer) knowsMoreThan(other *Peer, name string) bool {
	switch {
	case other == nil || p.Status.KnownNodes > other.Status.KnownNodes:
		return true
	case p.Status.KnownNodes < other.Status.KnownNodes:
		return false
	}
	return coordinatorRank(name, p.Status.Node) > coordinatorRank(name, other.Status.Node)
}

// relay returns the peer as a relay.
func (p *Peer) relay() Relay {
	return Relay{Node: p.Status.Node, DatagramAddress: p.DatagramAddress, StatusOnly: p.StatusOnly}
}

// ActiveNodes returns the number of nodes that are known and do not shut down, this one included.
func (t *Table) ActiveNodes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 1
	for _, p := range t.peers {
		if !p.Status.Stopping {
			count++
		}
	}
	return count
}

// canCoordinate reports whether a peer can count requests: it may not be of an earlier build, or
// have no configuration. The status of a status-only peer may be minutes old, so that peer is
// asked and passes messages on if it has none.
func (p *Peer) canCoordinate() bool {
	if p.Status.Incarnation == 0 {
		return true
	}
	return p.Status.CountsQuotas && (p.Status.ConfigNumber > 0 || p.StatusOnly)
}

// NodeAt returns the name of the node that takes datagrams at an address, or an empty one.
func (t *Table) NodeAt(datagramAddress string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddress[datagramAddress]; p != nil {
		return p.Status.Node
	}
	return ""
}

// DatagramAddress returns where the node of an incarnation takes datagrams, and false if it is
// not known.
func (t *Table) DatagramAddress(incarnation uint64) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[t.nodes[incarnation]]
	if p == nil {
		return "", false
	}
	return p.DatagramAddress, true
}

// reachedLately reports whether datagrams recently arrived in both directions, or the peer was
// found so recently that none can have. Whether hops to the peer fail does not matter, and for a
// status-only peer one direction is enough. The caller holds the lock.
func (t *Table) reachedLately(p *Peer, now time.Time) bool {
	limit := t.unreachableAfter(p)
	if p.StatusOnly || p.ReceivedAt.IsZero() {
		return now.Sub(p.lastReceived()) < limit
	}
	return t.receivedRecently(p, now) && now.Sub(p.echoedAt) < limit
}

// coordinatorRank returns the hash that orders the nodes for a name.
func coordinatorRank(name, node string) uint64 { return xxhash.Sum64String(name + "|" + node) }

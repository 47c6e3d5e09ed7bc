package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings configures a Table.
type Settings struct {
	// UnreachableAfter is the time without a datagram or response after which a node
	// counts as unreachable. For status-only nodes it may be longer.
	UnreachableAfter time.Duration
	// ForgetAfter is the time without a datagram or response after which a node is
	// removed.
	ForgetAfter time.Duration
	// AvoidFor is how long a node gets no requests after a hop to it failed.
	AvoidFor time.Duration
}

// Peer is the last known state of another node.
type Peer struct {
	// Status is the latest status, with the load of the latest heartbeat or response.
	// Before the first datagram only Node, DataCentre and HopAddress are set.
	Status Status
	// DatagramAddress is where the node takes datagrams, "IP:port".
	DatagramAddress string
	// ReceivedAt is when the latest datagram or response arrived. Zero means never.
	ReceivedAt time.Time
	// StatusOnly means that statuses are exchanged with the node, but no
	// heartbeats.
	StatusOnly bool
	// LoadAt is when the load in Status was received, or when the peer was added.
	LoadAt time.Time
	// echoedAt is when the node last received something from this one, by its own
	// report or as its latest response shows. Zero means never.
	echoedAt time.Time
	// avoidUntil is the end of the time during which the node gets no requests
	// because a hop to it failed.
	avoidUntil time.Time
	// formerIncarnations holds incarnations that ended, the latest last.
	formerIncarnations []uint64
	// inFlight counts the requests of this node that are in flight to the peer.
	inFlight int
}

// Table holds the peers of a node. It is safe for concurrent use.
type Table struct {
	settings Settings
	mu       sync.Mutex
	peers    map[string]*Peer
	// statusOnlyInterval is the interval of statuses to status-only nodes.
	statusOnlyInterval time.Duration
	// nodes maps each current incarnation to the name of its node.
	nodes map[uint64]string
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, peers: make(map[string]*Peer), nodes: make(map[uint64]string)}
}

// maxFormerIncarnations bounds the ended incarnations of a node that are
// remembered. A datagram is late by seconds at most, and that many restarts take
// longer.
const maxFormerIncarnations = 4

// AddDiscovered adds a node that was found by other means than its datagrams.
// The addresses of a known node are only replaced if no datagram of it arrived
// recently. A node is ignored if datagrams of another one arrive from its
// datagram address.
func (t *Table) AddDiscovered(name, dataCentre, hopAddress, datagramAddress string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if holder := t.peerByAddress(datagramAddress, name); holder != nil && t.receivedRecently(holder, now) {
		return
	}
	p := t.peers[name]
	if p == nil {
		t.peers[name] = &Peer{
			Status:          Status{Node: name, DataCentre: dataCentre, HopAddress: hopAddress},
			DatagramAddress: datagramAddress,
			LoadAt:          now,
		}
		return
	}
	if p.DatagramAddress != datagramAddress && !t.receivedRecently(p, now) {
		p.DatagramAddress = datagramAddress
		p.Status.HopAddress = hopAddress
		p.Status.DataCentre = dataCentre
	}
}

// Merge applies a status that arrived from datagramAddress. It reports whether
// the status was newer than the known one, and whether its incarnation was not
// the known one.
func (t *Table) Merge(s Status, datagramAddress string, now time.Time) (updated, newIncarnation bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[s.Node]
	if p == nil {
		p = &Peer{}
		t.peers[s.Node] = p
	}
	if slices.Contains(p.formerIncarnations, s.Incarnation) {
		return false, false
	}
	newIncarnation = p.Status.Incarnation != s.Incarnation
	if !newIncarnation && s.Sequence <= p.Status.Sequence {
		return false, false
	}
	if newIncarnation && p.Status.Incarnation != 0 {
		delete(t.nodes, p.Status.Incarnation)
		p.formerIncarnations = append(p.formerIncarnations, p.Status.Incarnation)
		p.formerIncarnations = p.formerIncarnations[max(0, len(p.formerIncarnations)-maxFormerIncarnations):]
		p.avoidUntil = time.Time{}
	}
	if newIncarnation || p.DatagramAddress != datagramAddress {
		t.removePeerAt(datagramAddress, s.Node)
	}
	p.Status = s
	p.DatagramAddress = datagramAddress
	p.ReceivedAt = now
	p.LoadAt = now
	p.applyEcho(s.EchoMillis, now)
	t.nodes[s.Incarnation] = s.Node
	return true, newIncarnation
}

// peerByAddress returns a node other than the named one that takes datagrams at
// the address, or nil.
func (t *Table) peerByAddress(datagramAddress, except string) *Peer {
	for name, p := range t.peers {
		if name != except && p.DatagramAddress == datagramAddress {
			return p
		}
	}
	return nil
}

// removePeerAt removes the peer, other than the named one, that has the address.
// If both were kept, the datagrams meant for the old node would reach the new one
// as well. Their echo is the time since the old node last sent something, so the
// new node would conclude that this one receives nothing from it.
func (t *Table) removePeerAt(datagramAddress, except string) {
	if old := t.peerByAddress(datagramAddress, except); old != nil {
		t.remove(old)
	}
}

// remove deletes a peer. The caller holds the lock.
func (t *Table) remove(p *Peer) {
	delete(t.nodes, p.Status.Incarnation)
	delete(t.peers, p.Status.Node)
}

// MergeHeartbeat applies a heartbeat. It is ignored if no status of its
// incarnation arrived before, or if it is not newer than the known state.
func (t *Table) MergeHeartbeat(h Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.nodes[h.Incarnation]
	if !ok {
		return
	}
	p := t.peers[name]
	if p == nil || p.Status.Incarnation != h.Incarnation || h.Sequence <= p.Status.Sequence {
		return
	}
	p.Status.Sequence = h.Sequence
	p.Status.Running, p.Status.Waiting, p.Status.Slowdown = h.Running, h.Waiting, h.Slowdown
	p.Status.FailurePercent = h.FailurePercent
	p.ReceivedAt, p.LoadAt = now, now
	p.applyEcho(h.EchoMillis, now)
}

// applyEcho records how many milliseconds ago the peer received the latest
// datagram or response of this node. Negative means never.
func (p *Peer) applyEcho(millis int, now time.Time) {
	p.echoedAt = time.Time{}
	if millis >= 0 {
		p.echoedAt = now.Add(-time.Duration(millis) * time.Millisecond)
	}
}

// Load is the part of a status that a node sends with its response to a request of
// another node, also with a refusal of its gate.
type Load struct {
	// Running counts the requests in flight to the target, and Waiting those in
	// its queue.
	Running int
	Waiting int
	// Slowdown is how long work takes at the target now, in percent of the usual
	// time.
	Slowdown int
	// Accepting is set while the target takes requests.
	Accepting bool
}

// MergeLoad applies the load in a response of the node to a hop. The response also
// proves that the node and this one reach each other.
func (t *Table) MergeLoad(name string, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	if p == nil {
		return
	}
	p.Status.Running, p.Status.Waiting = load.Running, load.Waiting
	p.Status.Slowdown, p.Status.Accepting = load.Slowdown, load.Accepting
	p.LoadAt = now
	p.ReceivedAt = now
	p.echoedAt = now
}

// HopFailed records that a hop to the node failed. The node gets no requests for
// Settings.AvoidFor.
func (t *Table) HopFailed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.avoidUntil = now.Add(t.settings.AvoidFor)
	}
}

// Begin counts a request of this node that is sent to the target beside the
// named node. End has to follow.
func (t *Table) Begin(name string) { t.addInFlight(name, 1) }

// End ends a request that Begin counted.
func (t *Table) End(name string) { t.addInFlight(name, -1) }

func (t *Table) addInFlight(name string, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.inFlight = max(0, p.inFlight+change)
	}
}

// receivedRecently reports whether a datagram or response of the peer arrived
// within unreachableAfter.
func (t *Table) receivedRecently(p *Peer, now time.Time) bool {
	return !p.ReceivedAt.IsZero() && now.Sub(p.ReceivedAt) < t.unreachableAfter(p)
}

// reachable reports whether datagrams recently arrived in both directions, or a
// response to a hop did, and no hop failed within AvoidFor.
func (t *Table) reachable(p *Peer, now time.Time) bool {
	return t.receivedRecently(p, now) && now.Sub(p.echoedAt) < t.unreachableAfter(p) && !now.Before(p.avoidUntil)
}

// StoreWatchRole is the role of a node in watching the platform's store on behalf
// of the fleet.
type StoreWatchRole struct {
	// Active is set if the node is one of those that read the store for the fleet.
	Active bool
	// Watchers is the number of nodes that share the reads.
	Watchers int
}

// StoreWatchRole returns the role of this node, given by its name and whether it
// reaches the store itself. Of the nodes that reach the store, the first ones by
// watchRank are active, at most maxWatchers. If no node reaches it, all nodes
// are active and take turns to try.
func (t *Table) StoreWatchRole(name string, reachesStore bool, maxWatchers int, now time.Time) StoreWatchRole {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes, reaching, before := 1, 0, 0
	rank := watchRank(name)
	for other, p := range t.peers {
		if !t.reachable(p, now) {
			continue
		}
		nodes++
		if p.Status.ReachesStore {
			reaching++
			if watchRank(other) < rank {
				before++
			}
		}
	}
	switch {
	case reachesStore:
		return StoreWatchRole{Active: before < maxWatchers, Watchers: min(reaching+1, maxWatchers)}
	case reaching == 0:
		return StoreWatchRole{Active: true, Watchers: nodes}
	}
	return StoreWatchRole{Watchers: min(reaching, maxWatchers)}
}

// watchRank orders the nodes for StoreWatchRole. It is a hash, so that the
// active nodes are spread over the data centres.
func watchRank(name string) uint64 { return xxhash.Sum64String(name) }

// Peers returns copies of all peers, ordered by name. It removes the peers whose
// load is older than Settings.ForgetAfter.
func (t *Table) Peers(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Peer
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if now.Sub(p.LoadAt) > t.settings.ForgetAfter {
			t.remove(p)
			continue
		}
		all = append(all, *p)
	}
	return all
}

// Peer returns a copy of the named peer, and whether there is one.
func (t *Table) Peer(name string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// Reachable reports whether datagrams recently arrived in both directions, or a
// response to a hop did, and no hop to the node failed within Settings.AvoidFor.
// It is false for an unknown node.
func (t *Table) Reachable(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	return p != nil && t.reachable(p, now)
}

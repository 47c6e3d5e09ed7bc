package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
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
	// StatusOnly means that the node gets no heartbeats, and statuses only rarely.
	StatusOnly bool
	// LoadAt is when the load in Status was received, or when the peer was added.
	LoadAt time.Time
	// echoedAt is when the node last received something from this one, by its own
	// report or as its latest response shows. Zero means never.
	echoedAt time.Time
	// avoidUntil is the end of the time during which the node gets no requests
	// because a hop to it failed.
	avoidUntil time.Time
	// avoidConfigUntil is the end of the time during which the node is not asked for
	// its configuration.
	avoidConfigUntil time.Time
	// configFailedAt is when the node last failed to send its configuration.
	configFailedAt time.Time
	// formerIncarnations holds incarnations that ended, the latest last.
	formerIncarnations []uint64
	// afterWholeSlack is set if the latest of them had Status.WholeSlack.
	afterWholeSlack bool
	// inFlight counts the requests of this node that are in flight to the peer.
	inFlight int
	// pair is the hash of the names of both nodes, as pairHash returns it.
	pair float64
	// chosenAt is when this node chose the peer for heartbeats. Zero means that it
	// did not. wantedAt is when a message last showed that the peer chose this node.
	chosenAt, wantedAt time.Time
	// sentAt is when the peer was last sent a message, and statusAt a status.
	sentAt, statusAt time.Time
}

// Table holds the peers of a node. It is safe for concurrent use.
type Table struct {
	settings Settings
	// self is this node, as SelectHeartbeatPeers last got it.
	self  Self
	mu    sync.Mutex
	peers map[string]*Peer
	// byService holds the peers of each service, ordered by node, and byAddress the
	// peer at each datagram address.
	byService map[string][]*Peer
	byAddress map[string]*Peer
	// statusOnlyInterval is the interval of statuses to status-only nodes.
	statusOnlyInterval time.Duration
	// nodes maps each current incarnation to the name of its node.
	nodes map[uint64]string
	// marks holds what peers relayed of the nodes that watch the store, by rank.
	marks map[uint64]relayedMark
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings:  settings,
		peers:     make(map[string]*Peer),
		byService: make(map[string][]*Peer),
		byAddress: make(map[string]*Peer),
		nodes:     make(map[uint64]string),
		marks:     make(map[uint64]relayedMark),
	}
}

// maxFormerIncarnations bounds the ended incarnations of a node that are
// remembered. A datagram is late by seconds at most, and that many restarts take
// longer.
const maxFormerIncarnations = 4

// Discovered is a node that was found by other means than its datagrams.
type Discovered struct {
	// Node, DataCentre, Service and HopAddress are as in Status. Service is empty if
	// it is not known.
	Node, DataCentre, Service, HopAddress string
	// DatagramAddress is where the node takes datagrams, "IP:port".
	DatagramAddress string
}

// AddDiscovered adds a node. The addresses of a known node are only replaced if no
// datagram of it arrived recently. A node is ignored if datagrams of another one
// arrive from its datagram address.
func (t *Table) AddDiscovered(d Discovered, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if holder := t.byAddress[d.DatagramAddress]; holder != nil && holder.Status.Node != d.Node {
		if t.receivedRecently(holder, now) {
			return
		}
		t.remove(holder)
	}
	p := t.peers[d.Node]
	switch {
	case p == nil:
		p = &Peer{LoadAt: now}
		p.Status.Node = d.Node
		t.peers[d.Node] = p
	case p.DatagramAddress == d.DatagramAddress || t.receivedRecently(p, now):
		return
	}
	t.setAddress(p, d.DatagramAddress)
	s := p.Status
	s.DataCentre, s.HopAddress = d.DataCentre, d.HopAddress
	if s.Incarnation == 0 {
		s.Service = d.Service
	}
	t.setStatus(p, s)
}

// Merge applies a status that arrived from datagramAddress. It reports whether
// the status was newer than the known one, and whether its incarnation was not
// the known one.
func (t *Table) Merge(s Status, datagramAddress string, now time.Time) (updated, newIncarnation bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[s.Node]
	if p == nil {
		p = &Peer{StatusOnly: len(t.peers) >= fullMeshNodes}
		p.Status.Node = s.Node
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
		p.afterWholeSlack = p.Status.WholeSlack
	}
	// Two nodes must not be kept at one address: the datagrams meant for the old one
	// would reach the new one as well. Their echo is the time since the old one last
	// sent something, so the new one would conclude that this node receives nothing
	// from it.
	if old := t.byAddress[datagramAddress]; old != nil && old != p {
		t.remove(old)
	}
	t.setAddress(p, datagramAddress)
	t.mergeMarks(s.Watchers, now)
	t.setStatus(p, s)
	p.LoadAt = now
	t.received(p, s.EchoMillis, s.Wanted, now)
	t.nodes[s.Incarnation] = s.Node
	return true, newIncarnation
}

// setAddress sets the datagram address of a peer. The caller holds the lock.
func (t *Table) setAddress(p *Peer, datagramAddress string) {
	if p.DatagramAddress == datagramAddress && t.byAddress[datagramAddress] == p {
		return
	}
	if t.byAddress[p.DatagramAddress] == p {
		delete(t.byAddress, p.DatagramAddress)
	}
	p.DatagramAddress = datagramAddress
	t.byAddress[datagramAddress] = p
}

// setStatus replaces the status of a peer. The caller holds the lock.
func (t *Table) setStatus(p *Peer, s Status) {
	if p.Status.Service != s.Service {
		t.leaveService(p)
		p.Status = s
		t.joinService(p)
		return
	}
	p.Status = s
}

// joinService adds a peer to the index by service. Peers without a target are not
// in it.
func (t *Table) joinService(p *Peer) {
	service := p.Status.Service
	if service == "" {
		return
	}
	at, _ := slices.BinarySearchFunc(t.byService[service], p.Status.Node, compareNode)
	t.byService[service] = slices.Insert(t.byService[service], at, p)
}

// leaveService removes a peer from the index by service.
func (t *Table) leaveService(p *Peer) {
	service := p.Status.Service
	at, found := slices.BinarySearchFunc(t.byService[service], p.Status.Node, compareNode)
	if !found {
		return
	}
	t.byService[service] = slices.Delete(t.byService[service], at, at+1)
	if len(t.byService[service]) == 0 {
		delete(t.byService, service)
	}
}

// compareNode orders peers by the name of their node.
func compareNode(p *Peer, node string) int { return strings.Compare(p.Status.Node, node) }

// remove deletes a peer. The caller holds the lock.
func (t *Table) remove(p *Peer) {
	t.leaveService(p)
	if t.byAddress[p.DatagramAddress] == p {
		delete(t.byAddress, p.DatagramAddress)
	}
	delete(t.nodes, p.Status.Incarnation)
	delete(t.peers, p.Status.Node)
}

// received records a datagram of a peer with its echo and its Wanted flag.
func (t *Table) received(p *Peer, echoMillis int, wanted bool, now time.Time) {
	p.ReceivedAt = now
	p.applyEcho(echoMillis, now)
	p.wantedAt = time.Time{}
	if wanted {
		p.wantedAt = now
		p.StatusOnly = false
	}
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
	p.LoadAt = now
	t.received(p, h.EchoMillis, h.Wanted, now)
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

// Peers returns copies of all peers, ordered by name. It removes the peers whose
// load is older than Settings.ForgetAfter.
func (t *Table) Peers(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	var all []Peer
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		all = append(all, *t.peers[name])
	}
	return all
}

// forget removes the peers whose load is older than Settings.ForgetAfter. The caller
// holds the lock.
func (t *Table) forget(now time.Time) {
	for _, p := range t.peers {
		if now.Sub(p.LoadAt) > t.settings.ForgetAfter {
			t.remove(p)
		}
	}
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

package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenatrestle/process/gate"
)

// Settings of a Table.
type Settings struct {
	// UnreachableAfter is how long a node may say nothing before it is out of reach.
	UnreachableAfter time.Duration
	// ForgetAfter is how long a silent node is remembered.
	ForgetAfter time.Duration
	// AvoidFor is how long a node is avoided after a hop to it failed.
	AvoidFor time.Duration
}

// Peer is another node as this one sees it.
type Peer struct {
	// Status is the latest that the node told. Only its Node, DataCentre and Hop
	// are set if nothing was heard yet.
	Status Status
	// DatagramAddress is where the node takes datagrams, "IP:port".
	DatagramAddress string
	// ReceivedAt is when the latest datagram came. Zero means never.
	ReceivedAt time.Time
	// StatusOnly tells that statuses are exchanged with the node, but no beats.
	StatusOnly bool
	// LoadAt is when the load in Status was true.
	LoadAt time.Time
	// echoedAt is when the node last heard from this one, as it told.
	echoedAt time.Time
	// avoidUntil is set by a failed hop.
	avoidUntil time.Time
	// formerIncarnations holds incarnations that ended.
	formerIncarnations []uint64
	// inFlight counts this node's own requests there.
	inFlight int
}

// Table holds the peers of a node. It is safe for concurrent use.
type Table struct {
	settings Settings
	mu       sync.Mutex
	peers    map[string]*Peer
	// statusOnlyInterval is the period of statuses to distant nodes.
	statusOnlyInterval time.Duration
	// nodes names the node of each incarnation in force.
	nodes map[uint64]string
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, peers: make(map[string]*Peer), nodes: make(map[uint64]string)}
}

// maxFormerIncarnations bounds the ended lives of a node that are remembered. A datagram
// is late by seconds at most, which is less than that many restarts take.
const maxFormerIncarnations = 4

// AddDiscovered makes a node known before it was heard. A node that is known at
// another address keeps that one while it is heard there. One whose address
// belongs to a node that is heard there is not taken in.
func (t *Table) AddDiscovered(name, dataCentre, hop, contact string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if holder := t.peerByAddress(contact, name); holder != nil && t.receivedRecently(holder, now) {
		return
	}
	p := t.peers[name]
	if p == nil {
		t.peers[name] = &Peer{
			Status:          Status{Node: name, DataCentre: dataCentre, HopAddress: hop},
			DatagramAddress: contact,
			LoadAt:          now,
		}
		return
	}
	if p.DatagramAddress != contact && !t.receivedRecently(p, now) {
		p.DatagramAddress = contact
		p.Status.HopAddress = hop
		p.Status.DataCentre = dataCentre
	}
}

// Merge takes in a status that came from contact. It reports whether it was
// news, and whether it tells of a life of the node that was not known.
func (t *Table) Merge(s Status, contact string, now time.Time) (news, fresh bool) {
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
	fresh = p.Status.Incarnation != s.Incarnation
	if !fresh && s.Sequence <= p.Status.Sequence {
		return false, false
	}
	if fresh && p.Status.Incarnation != 0 {
		delete(t.nodes, p.Status.Incarnation)
		p.formerIncarnations = append(p.formerIncarnations, p.Status.Incarnation)
		p.formerIncarnations = p.formerIncarnations[max(0, len(p.formerIncarnations)-maxFormerIncarnations):]
		p.avoidUntil = time.Time{}
	}
	if fresh || p.DatagramAddress != contact {
		t.removePeerAt(contact, s.Node)
	}
	p.Status = s
	p.DatagramAddress = contact
	p.ReceivedAt = now
	p.LoadAt = now
	p.applyEcho(s.EchoMillis, now)
	t.nodes[s.Incarnation] = s.Node
	return true, fresh
}

// peerByAddress returns a node other than the named one that takes datagrams at contact,
// or nil.
func (t *Table) peerByAddress(contact, except string) *Peer {
	for name, p := range t.peers {
		if name != except && p.DatagramAddress == contact {
			return p
		}
	}
	return nil
}

// removePeerAt drops the node that had the contact of the named one before. While
// both are kept, the new one is told when the old one was last heard, and takes
// itself for unheard.
func (t *Table) removePeerAt(contact, by string) {
	if old := t.peerByAddress(contact, by); old != nil {
		t.remove(old)
	}
}

// remove forgets a node.
func (t *Table) remove(p *Peer) {
	delete(t.nodes, p.Status.Incarnation)
	delete(t.peers, p.Status.Node)
}

// MergeHeartbeat takes in a beat. One of a life that no status told of is dropped.
func (t *Table) MergeHeartbeat(b Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.nodes[b.Incarnation]
	if !ok {
		return
	}
	p := t.peers[name]
	if p == nil || p.Status.Incarnation != b.Incarnation || b.Sequence <= p.Status.Sequence {
		return
	}
	p.Status.Sequence = b.Sequence
	p.Status.Running, p.Status.Waiting, p.Status.Slowdown = b.Running, b.Waiting, b.Slowdown
	p.Status.FailurePercent = b.FailurePercent
	p.ReceivedAt, p.LoadAt = now, now
	p.applyEcho(b.EchoMillis, now)
}

// applyEcho takes in how long ago the peer heard from this node.
func (p *Peer) applyEcho(millis int, now time.Time) {
	p.echoedAt = time.Time{}
	if millis >= 0 {
		p.echoedAt = now.Add(-time.Duration(millis) * time.Millisecond)
	}
}

// Load is the part of a status that an answer or refusal of a node carries.
type Load struct {
	// Running and Waiting count requests at the target and in its queue.
	Running int
	Waiting int
	// Slowdown is how long work takes at the target now, in percent of usual.
	Slowdown int
	// Accepting tells that the target takes requests.
	Accepting bool
}

// MergeLoad takes in the load that an answer of the node carried.
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

// HopFailed takes in that a hop to the node failed.
func (t *Table) HopFailed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.avoidUntil = now.Add(t.settings.AvoidFor)
	}
}

// Begin counts a request of this node at the target beside another.
func (t *Table) Begin(name string) { t.addInFlight(name, 1) }

// End ends what Begin counted.
func (t *Table) End(name string) { t.addInFlight(name, -1) }

func (t *Table) addInFlight(name string, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.inFlight = max(0, p.inFlight+change)
	}
}

// receivedRecently reports whether the node was heard of late.
func (t *Table) receivedRecently(p *Peer, now time.Time) bool {
	return !p.ReceivedAt.IsZero() && now.Sub(p.ReceivedAt) < t.unreachableAfter(p)
}

// reachable reports whether datagrams pass both ways and hops did not fail.
func (t *Table) reachable(p *Peer, now time.Time) bool {
	return t.receivedRecently(p, now) && now.Sub(p.echoedAt) < t.unreachableAfter(p) && !now.Before(p.avoidUntil)
}

// Candidate is a target that requests may be sent to.
type Candidate struct {
	// Node names the node beside the target.
	Node string
	// HopAddress is where that node takes requests.
	HopAddress string
	// Incarnation names the life of the node's process.
	Incarnation uint64
	// Instance names the target.
	Instance string
	// DataCentre is where the target runs.
	DataCentre string
	// Slots, Running, Waiting and Speed are the latest known load.
	Slots    int
	Running  int
	Waiting  int
	Slowdown int
	// FailurePercent is the share of its runs that fail.
	FailurePercent int
	// InFlight counts this node's own requests there.
	InFlight int
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// LoadAge is how old the load is.
	LoadAge time.Duration
	// StatusOnly tells that the load is told seldom.
	StatusOnly bool
}

// Candidates returns the open targets of a service that can be reached.
func (t *Table) Candidates(service string, now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Candidate
	for _, p := range t.peers {
		s := &p.Status
		if s.Service != service || !s.Accepting || s.Stopping || !t.reachable(p, now) {
			continue
		}
		age := now.Sub(p.LoadAt)
		found = append(found, Candidate{
			Node: s.Node, HopAddress: s.HopAddress, Incarnation: s.Incarnation, Instance: s.Instance,
			DataCentre: s.DataCentre, Slots: s.Slots, Running: s.Running, Waiting: s.Waiting,
			Slowdown: s.Slowdown, InFlight: p.inFlight, ColdRemaining: s.ColdRemaining() - age, LoadAge: age,
			FailurePercent: s.FailurePercent, StatusOnly: p.StatusOnly,
		})
	}
	slices.SortFunc(found, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	return found
}

// PeerTargets returns what is known of the targets beside the nodes that were heard
// of late, to the gate of a target of that service.
func (t *Table) PeerTargets(service string, now time.Time) gate.PeerTargets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var others gate.PeerTargets
	for _, p := range t.peers {
		if !t.receivedRecently(p, now) {
			continue
		}
		if p.Status.SlowWhenFull {
			others.AllSlowWhenFull++
		}
		if p.Status.Service != service {
			continue
		}
		others.Targets++
		if p.Status.SlowWhenFull {
			others.SlowWhenFull++
		}
	}
	return others
}

// StoreWatchRole is a node's part in following the platform's store for the fleet.
type StoreWatchRole struct {
	// Active tells that the node is one of the few that follow the store for
	// all, and that all of those can be counted on.
	Active bool
	// Watchers is the number of nodes among which the work is shared.
	Watchers int
}

// StoreWatchRole returns the part of the node of that name, which itself reaches
// the store or not. The first by rank of those that reach it are on duty, up
// to most. If none reaches it, all take turns to try.
func (t *Table) StoreWatchRole(name string, reaches bool, most int, now time.Time) StoreWatchRole {
	t.mu.Lock()
	defer t.mu.Unlock()
	near, reaching, before := 1, 0, 0
	rank := watchRank(name)
	for other, p := range t.peers {
		if !t.reachable(p, now) {
			continue
		}
		near++
		if p.Status.ReachesStore {
			reaching++
			if watchRank(other) < rank {
				before++
			}
		}
	}
	switch {
	case reaches:
		return StoreWatchRole{Active: before < most, Watchers: min(reaching+1, most)}
	case reaching == 0:
		return StoreWatchRole{Active: true, Watchers: near}
	}
	return StoreWatchRole{Watchers: min(reaching, most)}
}

// watchRank orders the nodes in a way that mixes data centres.
func watchRank(name string) uint64 { return xxhash.Sum64String(name) }

// Peers returns copies of all peers, by name. Those silent for too long are
// forgotten, unless they were never heard.
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

// Peer returns a copy of the node's entry.
func (t *Table) Peer(name string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// Reachable reports whether the node can be reached, as far as is known.
func (t *Table) Reachable(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	return p != nil && t.reachable(p, now)
}

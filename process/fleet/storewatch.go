package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// WatcherTTL is how long a message of a node shows that it may watch the store, whether
	// it arrived here or at a node that relayed its WatcherMark. The loss of all watchers is
	// noticed after that time. A node that misses the messages of all watchers for longer, as
	// behind a cut link, reads the store as well, but only the first few that it still
	// receives do so.
	WatcherTTL = time.Second
	// maxRelayedMarks bounds the marks of a status, and maxKeptMarks those that a node
	// keeps. A status has room for all active watchers of a large fleet, and for more
	// nodes that do not reach the store than there are probing ones.
	maxRelayedMarks = 12
	maxKeptMarks    = 32
)

// WatcherMark states which node may watch the platform's store. Nodes relay the marks
// of the nodes with the lowest ranks in their statuses, so that all agree on the
// active watchers although each exchanges heartbeats with a few others only.
type WatcherMark struct {
	// Rank is the watchRank of the node.
	Rank uint64
	// AgeMillis is the time since a message of the node itself arrived, in milliseconds.
	AgeMillis int
	// Withdrawn is set if the node did not reach the store then.
	Withdrawn bool
}

// relayedMark is a WatcherMark of which a message of the node itself arrived at receivedAt.
type relayedMark struct {
	receivedAt time.Time
	withdrawn  bool
}

// StoreWatchRole is the role of a node in watching the platform's store on behalf
// of the fleet.
type StoreWatchRole struct {
	// Reaches is set if the latest call of the node to the store succeeded.
	Reaches bool
	// Active is set if the node is one of those that read the store for the fleet.
	Active bool
	// AwaitsWatch is set if the node is active, but its watches of the store have not begun.
	AwaitsWatch bool
	// Probing is set if the node does not reach the store and is one of those that
	// try at short intervals whether they do.
	Probing bool
	// Watchers is the number of nodes that share the reads. It is zero if no node is
	// known to reach the store.
	Watchers int
}

// watchRank orders the nodes for StoreWatchRole. It is a hash, so that the
// active nodes are spread over the data centres.
func watchRank(name string) uint64 { return xxhash.Sum64String(name) }

// mergeMarks applies the marks of a status. The caller holds the lock.
func (t *Table) mergeMarks(marks []WatcherMark, now time.Time) {
	for _, m := range marks[:min(len(marks), maxRelayedMarks)] {
		if m.AgeMillis < 0 {
			continue
		}
		receivedAt := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
		if known, ok := t.marks[m.Rank]; !ok || receivedAt.After(known.receivedAt) {
			t.marks[m.Rank] = relayedMark{receivedAt: receivedAt, withdrawn: m.Withdrawn}
		}
	}
	maps.DeleteFunc(t.marks, func(_ uint64, m relayedMark) bool { return now.Sub(m.receivedAt) >= WatcherTTL })
	if excess := len(t.marks) - maxKeptMarks; excess > 0 {
		ranks := slices.Sorted(maps.Keys(t.marks))
		for _, rank := range ranks[len(ranks)-excess:] {
			delete(t.marks, rank)
		}
	}
}

// WatcherMarks returns the marks for the next status of this node, given by its name
// and whether it reaches the store: those of the active watchers, and of the first nodes
// with lower ranks that do not reach the store. However many these are, they leave room
// for the active ones.
func (t *Table) WatcherMarks(name string, reachesStore bool, maxWatchers int, now time.Time) []WatcherMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []WatcherMark
	active, withdrawn := 0, 0
	for _, m := range t.rankedMarks(name, reachesStore, now) {
		switch {
		case active == maxWatchers:
			return kept
		case !m.Withdrawn:
			active++
		case withdrawn == maxRelayedMarks-maxWatchers:
			continue
		default:
			withdrawn++
		}
		kept = append(kept, m)
	}
	return kept
}

// rankedMarks returns what is known of all nodes that may watch the store, this one
// included, the lowest rank first. What datagrams of a node show goes before what
// others relay. The caller holds the lock.
func (t *Table) rankedMarks(name string, reachesStore bool, now time.Time) []WatcherMark {
	ranked := []WatcherMark{{Rank: watchRank(name), Withdrawn: !reachesStore}}
	direct := map[uint64]bool{ranked[0].Rank: true}
	for other, p := range t.peers {
		if !p.StatusOnly && now.Sub(p.ReceivedAt) < WatcherTTL && t.reachable(p, now) {
			mark := WatcherMark{Rank: watchRank(other), AgeMillis: int(now.Sub(p.ReceivedAt).Milliseconds()), Withdrawn: !p.Status.ReachesStore}
			ranked = append(ranked, mark)
			direct[mark.Rank] = true
		}
	}
	for rank, m := range t.marks {
		if age := now.Sub(m.receivedAt); age < WatcherTTL && !direct[rank] {
			ranked = append(ranked, WatcherMark{Rank: rank, AgeMillis: int(age.Milliseconds()), Withdrawn: m.withdrawn})
		}
	}
	slices.SortFunc(ranked, func(a, b WatcherMark) int { return cmp.Compare(a.Rank, b.Rank) })
	return ranked
}

// StoreWatchRole returns the role of this node, given by its name and whether it
// reaches the store itself. Of the nodes that reach the store, the first ones by
// watchRank are active, at most maxWatchers. Of all nodes, the first ones are probing if
// they do not reach the store, also while others are taken to reach it: a standby node
// learns only by a poll of its own that it does not.
func (t *Table) StoreWatchRole(name string, reachesStore bool, maxWatchers int, now time.Time) StoreWatchRole {
	t.mu.Lock()
	defer t.mu.Unlock()
	reaching, before, reachingBefore := 0, 0, 0
	rank := watchRank(name)
	for _, m := range t.rankedMarks(name, reachesStore, now) {
		if m.Rank < rank {
			before++
		}
		if m.Withdrawn {
			continue
		}
		reaching++
		if m.Rank < rank {
			reachingBefore++
		}
	}
	return StoreWatchRole{
		Reaches:  reachesStore,
		Active:   reachesStore && reachingBefore < maxWatchers,
		Probing:  !reachesStore && before < maxWatchers,
		Watchers: min(reaching, maxWatchers),
	}
}

// ActiveIn returns how long it takes until this node becomes an active watcher if no further
// message arrives, assumed that it reaches the store. It is zero for an active watcher.
func (t *Table) ActiveIn(name string, maxWatchers int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := watchRank(name)
	var ages []int // of the watchers that go before this node, in milliseconds
	for _, m := range t.rankedMarks(name, true, now) {
		if m.Rank < rank && !m.Withdrawn {
			ages = append(ages, m.AgeMillis)
		}
	}
	if len(ages) < maxWatchers {
		return 0
	}
	slices.Sort(ages)
	return WatcherTTL - time.Duration(ages[maxWatchers-1])*time.Millisecond
}

// nodeCount returns the number of nodes that are taken to run, this one included:
// the reachable ones, and the status-only ones, of which nothing newer is known. The
// caller holds the lock.
func (t *Table) nodeCount(now time.Time) int {
	count := 1
	for _, p := range t.peers {
		if p.StatusOnly || t.reachable(p, now) {
			count++
		}
	}
	return count
}

// KnownNodes returns the number of nodes that are known, this one included, whether or
// not messages of them have arrived.
func (t *Table) KnownNodes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + len(t.peers)
}

// NodeCount returns the number of nodes that are taken to run, this one included.
func (t *Table) NodeCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodeCount(now)
}

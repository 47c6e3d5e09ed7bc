package fleet

import (
	"slices"
	"strings"
	"time"
)

// ReachabilityTracker reports each change of the reachability of a node once.
// The zero value is ready to use. It is not safe for concurrent use.
type ReachabilityTracker struct {
	reachable map[string]bool
}

// ReachabilityChange is the loss or the return of a node.
type ReachabilityChange struct {
	// Node names the node.
	Node string
	// Reachable is the new state.
	Reachable bool
	// SilentFor is the time since the latest datagram or response of the node.
	SilentFor time.Duration
}

// Changes returns the heartbeat peers that became reachable or unreachable since the
// previous call, ordered by name. A node counts as unreachable until a call finds
// it reachable. A node that was removed from the table or became status-only is not
// returned.
func (r *ReachabilityTracker) Changes(t *Table, now time.Time) []ReachabilityChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.reachable == nil {
		r.reachable = make(map[string]bool)
	}
	var changes []ReachabilityChange
	for name, p := range t.peers {
		if p.StatusOnly {
			continue
		}
		if reachable := t.reachable(p, now); reachable != r.reachable[name] {
			changes = append(changes, ReachabilityChange{Node: name, Reachable: reachable, SilentFor: now.Sub(p.ReceivedAt)})
			r.reachable[name] = reachable
		}
	}
	for name := range r.reachable {
		if p := t.peers[name]; p == nil || p.StatusOnly {
			delete(r.reachable, name)
		}
	}
	slices.SortFunc(changes, func(a, b ReachabilityChange) int { return strings.Compare(a.Node, b.Node) })
	return changes
}

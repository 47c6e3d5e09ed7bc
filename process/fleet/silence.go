package fleet

import "time"

// ReachabilityTracker follows which nodes are heard, to tell each loss and return once.
type ReachabilityTracker struct {
	reachable map[string]bool
}

// ReachabilityChange is the loss or the return of a node.
type ReachabilityChange struct {
	// Node names the node.
	Node string
	// Reachable tells a return from a loss.
	Reachable bool
	// SilentFor is how long the node was or is silent.
	SilentFor time.Duration
}

// Changes returns the losses and returns since the last call.
func (s *ReachabilityTracker) Changes(t *Table, now time.Time) []ReachabilityChange {
	if s.reachable == nil {
		s.reachable = make(map[string]bool)
	}
	var changes []ReachabilityChange
	known := make(map[string]bool)
	for _, p := range t.Peers(now) {
		name := p.Status.Node
		known[name] = true
		heard := t.Reachable(name, now)
		if heard != s.reachable[name] {
			changes = append(changes, ReachabilityChange{Node: name, Reachable: heard, SilentFor: now.Sub(p.ReceivedAt)})
			s.reachable[name] = heard
		}
	}
	for name := range s.reachable {
		if !known[name] {
			delete(s.reachable, name)
		}
	}
	return changes
}

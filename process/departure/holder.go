package departure

import "sync"

// maxHeldNodes bounds the nodes for which a Holder keeps departures. It is above the size
// of the planned fleet.
const maxHeldNodes = 2048

// Holder keeps the departures of other nodes for them while they restart. It is safe for
// concurrent use.
type Holder struct {
	mu    sync.Mutex
	lists map[string]heldList
	// changes counts the calls of Hold.
	changes uint64
}

// heldList is the list of a node, and the value of changes when it came.
type heldList struct {
	list      List
	changedAt uint64
}

// NewHolder returns an empty holder.
func NewHolder() *Holder { return &Holder{lists: make(map[string]heldList)} }

// Hold adds the departures that a node knows and returns all that are held for it. If
// too many nodes have some, those of the node that changed least recently are dropped.
func (h *Holder) Hold(node string, list List) List {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes++
	held := list.Merge(h.lists[node].list)
	h.lists[node] = heldList{list: held, changedAt: h.changes}
	if len(h.lists) > maxHeldNodes {
		h.dropOldest()
	}
	return held
}

// dropOldest drops the list that changed least recently. The caller holds the lock.
func (h *Holder) dropOldest() {
	oldest, at := "", h.changes
	for node, held := range h.lists {
		if held.changedAt < at {
			oldest, at = node, held.changedAt
		}
	}
	delete(h.lists, oldest)
}

// Held returns what is held for a node.
func (h *Holder) Held(node string) List {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lists[node].list
}

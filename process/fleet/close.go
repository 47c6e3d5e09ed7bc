package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heartbeatTargets is how many targets of each service a node follows closely.
	// With 8 of 26, callers of the grown sites were served worse than with all.
	heartbeatTargets = 32
	// statusOnlyIntervalPerNode is the period of statuses to distant nodes for each node of
	// the fleet, and minDistant its lower bound, so that a node sends a bounded
	// number of them a second.
	statusOnlyIntervalPerNode = 13 * time.Millisecond
	minStatusOnlyInterval     = time.Second
	// missedIntervals is how many periods a node may be silent before it is out of reach.
	missedIntervals = 2.6
)

// SelectHeartbeatPeers decides with which nodes this one, of that name and service,
// exchanges beats: for each service some of its targets, drawn by a hash of
// both names, so that both sides agree. In a small fleet that is all of them.
func (t *Table) SelectHeartbeatPeers(name, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{service: 1}
	for _, p := range t.peers {
		if t.receivedRecently(p, now) {
			counts[p.Status.Service]++
		}
	}
	t.statusOnlyInterval = max(minStatusOnlyInterval, statusOnlyIntervalPerNode*time.Duration(len(t.peers)))
	for other, p := range t.peers {
		smaller := min(max(counts[p.Status.Service], 1), counts[service])
		p.StatusOnly = pairHash(name, other)*float64(smaller) >= heartbeatTargets
	}
}

// StatusOnlyInterval returns the period of statuses to distant nodes.
func (t *Table) StatusOnlyInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statusOnlyInterval
}

// pairHash returns a number in [0, 1) that both nodes of a pair agree on.
func pairHash(a, b string) float64 {
	if b < a {
		a, b = b, a
	}
	return float64(xxhash.Sum64String(a+"|"+b)) / math.MaxUint64
}

// unreachableAfter returns how long a node may be silent before it is out of reach.
func (t *Table) unreachableAfter(p *Peer) time.Duration {
	if p.StatusOnly {
		return max(t.settings.UnreachableAfter, time.Duration(missedIntervals*float64(t.statusOnlyInterval)))
	}
	return t.settings.UnreachableAfter
}

package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// closeTargets is how many targets of each service a node follows closely.
	// With 8 of 26, callers of the grown sites were served worse than with all.
	closeTargets = 32
	// distantPerNode is the period of statuses to distant nodes for each node of
	// the fleet, and minDistant its lower bound, so that a node sends a bounded
	// number of them a second.
	distantPerNode = 13 * time.Millisecond
	minDistant     = time.Second
	// missed is how many periods a node may be silent before it is out of reach.
	missed = 2.6
)

// SelectHeartbeatPeers decides with which nodes this one, of that name and service,
// exchanges beats: for each service some of its targets, drawn by a hash of
// both names, so that both sides agree. In a small fleet that is all of them.
func (t *Table) SelectHeartbeatPeers(name, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{service: 1}
	for _, p := range t.peers {
		if t.heard(p, now) {
			counts[p.Status.Service]++
		}
	}
	t.distant = max(minDistant, distantPerNode*time.Duration(len(t.peers)))
	for other, p := range t.peers {
		smaller := min(max(counts[p.Status.Service], 1), counts[service])
		p.StatusOnly = pairDraw(name, other)*float64(smaller) >= closeTargets
	}
}

// StatusOnlyInterval returns the period of statuses to distant nodes.
func (t *Table) StatusOnlyInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.distant
}

// pairDraw returns a number in [0, 1) that both nodes of a pair agree on.
func pairDraw(a, b string) float64 {
	if b < a {
		a, b = b, a
	}
	return float64(xxhash.Sum64String(a+"|"+b)) / math.MaxUint64
}

// silence returns how long a node may be silent before it is out of reach.
func (t *Table) silence(p *Peer) time.Duration {
	if p.StatusOnly {
		return max(t.settings.UnreachableAfter, time.Duration(missed*float64(t.distant)))
	}
	return t.settings.UnreachableAfter
}

package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heartbeatTargets is about the number of targets of each service, if it has so
	// many, with whose nodes a node exchanges heartbeats. There are more for a
	// service that has more targets than the node's own service. With 8 of 26
	// targets, requests in the enlarged data centres were served worse than with all
	// 26.
	heartbeatTargets = 32
	// statusOnlyIntervalPerNode is the interval of statuses to status-only nodes for
	// each node of the fleet, and minStatusOnlyInterval its lower bound. Together
	// they bound the number of such statuses that a node sends per second.
	statusOnlyIntervalPerNode = 13 * time.Millisecond
	minStatusOnlyInterval     = time.Second
	// missedIntervals is the number of intervals without a status after which a
	// status-only node counts as unreachable.
	missedIntervals = 2.6
)

// SelectHeartbeatPeers decides with which peers this node, given by its name and
// service, exchanges heartbeats; the others become status-only. For each service
// a hash of both node names selects some of its targets, so that both sides of a
// pair agree. In a small fleet all peers are selected.
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

// StatusOnlyInterval returns the interval of statuses to status-only nodes.
func (t *Table) StatusOnlyInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statusOnlyInterval
}

// pairHash returns a number in [0, 1] that is the same at both nodes of a pair.
func pairHash(a, b string) float64 {
	if b < a {
		a, b = b, a
	}
	return float64(xxhash.Sum64String(a+"|"+b)) / math.MaxUint64
}

// unreachableAfter returns the time without a datagram of the peer after which
// it counts as unreachable.
func (t *Table) unreachableAfter(p *Peer) time.Duration {
	if p.StatusOnly {
		return max(t.settings.UnreachableAfter, time.Duration(missedIntervals*float64(t.statusOnlyInterval)))
	}
	return t.settings.UnreachableAfter
}

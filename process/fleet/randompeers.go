package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// RandomPeers returns the datagram addresses of up to count random peers from which
// something arrived recently. Status-only peers count.
func (t *Table) RandomPeers(count int, rng *rand.Rand, now time.Time) []string {
	return t.randomPeers(count, rng, func(p *Peer) bool {
		return p.StatusOnly && !p.ReceivedAt.IsZero() || t.receivedRecently(p, now)
	})
}

// RandomHeartbeatPeers is like RandomPeers for the peers with which heartbeats are
// exchanged. They receive a status of this node soon after it has started again.
func (t *Table) RandomHeartbeatPeers(count int, rng *rand.Rand, now time.Time) []string {
	return t.randomPeers(count, rng, func(p *Peer) bool { return !p.StatusOnly && t.receivedRecently(p, now) })
}

// randomPeers returns the datagram addresses of up to count random peers that the function
// accepts.
func (t *Table) randomPeers(count int, rng *rand.Rand, accept func(*Peer) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Sorted(maps.Keys(t.peers))
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var addresses []string
	for _, name := range names {
		if len(addresses) == count {
			break
		}
		if p := t.peers[name]; accept(p) {
			addresses = append(addresses, p.DatagramAddress)
		}
	}
	return addresses
}

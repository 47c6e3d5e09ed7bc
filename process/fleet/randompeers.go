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
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Sorted(maps.Keys(t.peers))
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var addresses []string
	for _, name := range names {
		if len(addresses) == count {
			break
		}
		if p := t.peers[name]; p.StatusOnly && !p.ReceivedAt.IsZero() || t.receivedRecently(p, now) {
			addresses = append(addresses, p.DatagramAddress)
		}
	}
	return addresses
}

package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Records that are forwarded to random peers must not go to peers that are silent, nor
// to one of them twice.
func TestRandomPeersAreDistinctAndReceived(t *testing.T) {
	table := NewTable(Settings{UnreachableAfter: time.Second, ForgetAfter: time.Hour})
	now := time.Unix(1_800_000_000, 0)
	for i := range 5 {
		name := fmt.Sprint("n", i)
		table.Merge(Status{Node: name, Incarnation: uint64(i + 1), Sequence: 1}, name, now)
	}
	table.Merge(Status{Node: "silent", Incarnation: 9, Sequence: 1}, "silent", now.Add(-2*time.Second))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		seen := make(map[string]bool)
		for _, address := range table.RandomPeers(8, rng, now) {
			if address == "silent" || seen[address] {
				t.Fatalf("peer %s is silent or was drawn twice", address)
			}
			seen[address] = true
		}
		if len(seen) != 5 {
			t.Fatalf("%d peers, want 5", len(seen))
		}
		if got := len(table.RandomPeers(3, rng, now)); got != 3 {
			t.Fatalf("%d peers, want 3", got)
		}
	}
}

package assignment

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Move is a partition that should change its owner to even out the load.
type Move struct {
	// Partition is the partition's number.
	Partition int
	// To is the node that should own it.
	To Candidate
}

// Rank sorts candidates by their preference for a partition. All nodes that
// know the same candidates get the same order.
func Rank(service string, partition int, candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	weights := make(map[string]uint64, len(candidates))
	for _, c := range candidates {
		weights[c.Node] = weight(service, partition, c.Node)
	}
	slices.SortFunc(ranked, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(weights[x.Node], weights[y.Node]), cmp.Compare(x.Node, y.Node))
	})
	return ranked
}

// RankByLoad is Rank with the owners of fewer partitions first.
func RankByLoad(a *Assignment, service string, partition int, candidates []Candidate) []Candidate {
	ranked := Rank(service, partition, candidates)
	slices.SortStableFunc(ranked, func(x, y Candidate) int {
		return cmp.Compare(a.OwnedCount(x.Node), a.OwnedCount(y.Node))
	})
	return ranked
}

func weight(service string, partition int, node string) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(partition))
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Rebalance returns the moves of the node's partitions after which no
// candidate owns two partitions more than another. A node that is no
// candidate, since it leaves, gives all of its partitions away.
func Rebalance(a *Assignment, service, node string, candidates []Candidate) []Move {
	if len(candidates) == 0 {
		return nil
	}
	stays := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Node == node })
	after := a.Clone()
	var moves []Move
	for i := range a.Partitions {
		if a.Partitions[i].Owner != node {
			continue
		}
		to := RankByLoad(after, service, i, candidates)[0]
		if to.Node == node || stays && after.OwnedCount(to.Node)+1 >= after.OwnedCount(node) {
			continue
		}
		after.Partitions[i].Owner = to.Node
		moves = append(moves, Move{Partition: i, To: to})
	}
	return moves
}

// ChooseWitnesses returns up to count witnesses, an odd number, spread evenly
// over data centres. Nodes in keep that are still candidates are kept, as long
// as that doesn't make the spread worse.
func ChooseWitnesses(service string, keep []string, candidates []Candidate, count int) []string {
	count = min(count, len(candidates), MaxWitnesses)
	if count > 1 && count%2 == 0 {
		count--
	}
	ranked := Rank(service, -1, candidates)
	slices.SortStableFunc(ranked, func(x, y Candidate) int {
		return boolOrder(slices.Contains(keep, x.Node), slices.Contains(keep, y.Node))
	})
	perCentre := make(map[string]int)
	var chosen []string
	for len(chosen) < count {
		next := leastUsed(ranked, perCentre)
		perCentre[ranked[next].DataCentre]++
		chosen = append(chosen, ranked[next].Node)
		ranked = slices.Delete(ranked, next, next+1)
	}
	slices.Sort(chosen)
	return chosen
}

// boolOrder sorts true before false.
func boolOrder(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// leastUsed returns the index of the first candidate whose data centre has
// been chosen from least often.
func leastUsed(ranked []Candidate, perCentre map[string]int) int {
	best := 0
	for i, c := range ranked {
		if perCentre[c.DataCentre] < perCentre[ranked[best].DataCentre] {
			best = i
		}
	}
	return best
}

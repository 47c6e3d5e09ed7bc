package assignment

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Move is a change of a partition's owner that Rebalance proposes to even out
// the load.
type Move struct {
	// Partition is the index of the partition.
	Partition int
	// To is the proposed owner.
	To Candidate
}

// Rank returns the candidates in the order of rendezvous hashing for a
// partition, the preferred one first. All nodes that know the same candidates
// compute the same order.
func Rank(service string, partition int, candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	weights := make(map[string]uint64, len(candidates))
	for _, c := range candidates {
		weights[c.Node] = rendezvousWeight(service, partition, c.Node)
	}
	slices.SortFunc(ranked, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(weights[x.Node], weights[y.Node]), cmp.Compare(x.Node, y.Node))
	})
	return ranked
}

// RankByLoad returns the candidates in ascending order of the partitions that
// they own. Candidates that own equally many are in the order of Rank.
func RankByLoad(a *Assignment, service string, partition int, candidates []Candidate) []Candidate {
	ranked := Rank(service, partition, candidates)
	slices.SortStableFunc(ranked, func(x, y Candidate) int {
		return cmp.Compare(a.OwnedCount(x.Node), a.OwnedCount(y.Node))
	})
	return ranked
}

// rendezvousWeight hashes a service, a partition and a node. Lower weights are
// preferred.
func rendezvousWeight(service string, partition int, node string) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(partition))
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Rebalance returns the moves by which a node gives partitions to candidates
// that own at least two partitions fewer. After all nodes have repeatedly made
// their moves, the numbers of partitions of any two candidates differ by at most
// one. A node that is not a candidate, because it is being stopped, gives all of
// its partitions away.
func Rebalance(a *Assignment, service, node string, candidates []Candidate) []Move {
	if len(candidates) == 0 {
		return nil
	}
	isCandidate := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Node == node })
	after := a.Clone()
	var moves []Move
	for i := range a.Partitions {
		if a.Partitions[i].Owner != node {
			continue
		}
		to := RankByLoad(after, service, i, candidates)[0]
		if to.Node == node || isCandidate && after.OwnedCount(to.Node)+1 >= after.OwnedCount(node) {
			continue
		}
		after.Partitions[i].Owner = to.Node
		moves = append(moves, Move{Partition: i, To: to})
	}
	return moves
}

// ChooseWitnesses returns the sorted names of an odd number of witnesses, at
// most count and MaxWitnesses, distributed evenly over data centres. It prefers
// candidates whose names are in keep where that doesn't make the distribution
// less even. Without candidates it returns none.
func ChooseWitnesses(service string, keep []string, candidates []Candidate, count int) []string {
	count = min(count, len(candidates), MaxWitnesses)
	if count > 1 && count%2 == 0 {
		count--
	}
	ranked := Rank(service, -1, candidates)
	slices.SortStableFunc(ranked, func(x, y Candidate) int {
		return compareTrueFirst(slices.Contains(keep, x.Node), slices.Contains(keep, y.Node))
	})
	perDataCentre := make(map[string]int)
	var chosen []string
	for len(chosen) < count {
		next := leastUsedDataCentre(ranked, perDataCentre)
		perDataCentre[ranked[next].DataCentre]++
		chosen = append(chosen, ranked[next].Node)
		ranked = slices.Delete(ranked, next, next+1)
	}
	slices.Sort(chosen)
	return chosen
}

// compareTrueFirst is a comparison function that sorts true before false.
func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// leastUsedDataCentre returns the index of the first candidate in the data
// centre with the fewest chosen witnesses.
func leastUsedDataCentre(ranked []Candidate, perDataCentre map[string]int) int {
	best := 0
	for i, c := range ranked {
		if perDataCentre[c.DataCentre] < perDataCentre[ranked[best].DataCentre] {
			best = i
		}
	}
	return best
}

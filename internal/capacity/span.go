package capacity

import (
	"maps"
	"slices"
)

// span is a phase: what happened between two snapshots.
type span struct {
	begin, end Snapshot
}

func (s span) valid() bool { return s.seconds() > 0 }

func (s span) seconds() float64 { return s.end.UnixSeconds - s.begin.UnixSeconds }

// perNode returns by how much a counter grew at each node.
func (s span) perNode(of func(NodeUsage) float64) []float64 {
	before, after := values(s.begin, of), values(s.end, of)
	for i := range after {
		after[i] -= before[i]
	}
	return after
}

func values(s Snapshot, of func(NodeUsage) float64) []float64 {
	out := make([]float64, 0, len(s.Nodes))
	for _, n := range s.Nodes {
		out = append(out, of(n))
	}
	return out
}

// mean returns the arithmetic mean, zero of nothing.
func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// most returns the highest value, zero of nothing.
func most(values []float64) float64 {
	var out float64
	for _, v := range values {
		out = max(out, v)
	}
	return out
}

func sortedNames(values map[string]float64) []string {
	return slices.Sorted(maps.Keys(values))
}

package assignment

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

func drawCandidates(t *rapid.T) []Candidate {
	list := make([]Candidate, rapid.IntRange(1, 20).Draw(t, "nodes"))
	for i := range list {
		centre := rapid.IntRange(0, 3).Draw(t, "centre")
		list[i] = Candidate{Node: fmt.Sprintf("n%d", i), Incarnation: 1, DataCentre: fmt.Sprintf("dc%d", centre)}
	}
	return list
}

// TestRebalance checks that partitions are distributed evenly over the
// candidates after all nodes have repeatedly made their moves, and that no
// moves are proposed from then on.
func TestRebalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		partitions := rapid.IntRange(1, MaxPartitions).Draw(t, "partitions")
		a, err := Initial("org/service", all, []string{"n0"}, partitions)
		if err != nil {
			t.Fatal(err)
		}
		remaining := all[rapid.IntRange(0, len(all)-1).Draw(t, "leave"):]
		for range len(all) {
			for _, c := range all {
				for _, move := range Rebalance(a, "org/service", c.Node, remaining) {
					a = HandOver(a, move.Partition, move.To.Node, 1, 9)
				}
			}
		}
		counts := make([]int, 0, len(remaining))
		total := 0
		for _, c := range remaining {
			counts = append(counts, a.OwnedCount(c.Node))
			total += a.OwnedCount(c.Node)
			if moves := Rebalance(a, "org/service", c.Node, remaining); len(moves) > 0 {
				t.Fatalf("%s still proposes the moves %v", c.Node, moves)
			}
		}
		if total != partitions || slices.Max(counts)-slices.Min(counts) > 1 {
			t.Fatalf("%d partitions, owned per candidate: %v", partitions, counts)
		}
	})
}

// TestChooseWitnesses checks the number of witnesses, their distribution over
// data centres, and that a second choice keeps the witnesses of the first.
func TestChooseWitnesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		chosen := ChooseWitnesses("org/service", nil, all, DefaultWitnesses)
		if len(chosen)%2 == 0 || len(chosen) > DefaultWitnesses || len(slices.Compact(slices.Clone(chosen))) != len(chosen) {
			t.Fatalf("chose %v", chosen)
		}
		used, free := make(map[string]int), make(map[string]int)
		for _, c := range all {
			if slices.Contains(chosen, c.Node) {
				used[c.DataCentre]++
			} else {
				free[c.DataCentre]++
			}
		}
		for centre := range free {
			for other, count := range used {
				if count > used[centre]+1 {
					t.Fatalf("%d witnesses in %s, but %d in %s, which has free candidates", count, other, used[centre], centre)
				}
			}
		}
		kept := ChooseWitnesses("org/service", chosen, all, DefaultWitnesses)
		if !slices.Equal(kept, chosen) {
			t.Fatalf("chose %v, then %v from the same candidates", chosen, kept)
		}
	})
}

// TestDecodeRefuses checks that Decode returns an error for objects that are not
// valid assignments.
func TestDecodeRefuses(t *testing.T) {
	good := `{"partitions":[{"owner":"n","tenure":1}],"witnesses":["n"],"epoch":1}`
	if _, err := Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{
		`{`,
		`{"partitions":[],"witnesses":["n"],"epoch":1}`,
		`{"partitions":[{"owner":"n","tenure":0}],"witnesses":["n"],"epoch":1}`,
		`{"partitions":[{"owner":"n","tenure":1}],"witnesses":[],"epoch":1}`,
		`{"partitions":[{"owner":"n","tenure":1}],"witnesses":["n"],"epoch":0}`,
	} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("decoded %s", bad)
		}
	}
}

// TestReplaceWitnessesTwice checks that witnesses can't be replaced again while a
// replacement is in progress, since that would drop previous witnesses that are
// not sealed, and that each step of a replacement raises the epoch.
func TestReplaceWitnessesTwice(t *testing.T) {
	a := &Assignment{Partitions: []Partition{{Owner: "n", Tenure: 1}}, Witnesses: []string{"a"}, Epoch: 1}
	joint, err := ReplaceWitnesses(a, []string{"b"})
	if err != nil || joint.Epoch != 2 || !slices.Equal(joint.PreviousWitnesses, []string{"a"}) {
		t.Fatalf("%+v, %v", joint, err)
	}
	if _, err := ReplaceWitnesses(joint, []string{"c"}); err == nil {
		t.Error("replaced witnesses while an earlier replacement was in progress")
	}
	if last := DropPreviousWitnesses(joint); last.Epoch != 3 || last.PreviousWitnesses != nil {
		t.Errorf("%+v", last)
	}
}

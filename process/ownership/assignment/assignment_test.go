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

// TestRebalance checks that, when each node makes its moves, partitions end up
// spread evenly over the candidates, and that nothing moves from then on.
func TestRebalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		partitions := rapid.IntRange(1, MaxPartitions).Draw(t, "partitions")
		a, err := Initial("org/service", all, []string{"n0"}, partitions)
		if err != nil {
			t.Fatal(err)
		}
		stay := all[rapid.IntRange(0, len(all)-1).Draw(t, "leave"):]
		for range len(all) {
			for _, c := range all {
				for _, move := range Rebalance(a, "org/service", c.Node, stay) {
					a = HandOver(a, move.Partition, move.To.Node, 1, 9)
				}
			}
		}
		counts := make([]int, 0, len(stay))
		total := 0
		for _, c := range stay {
			counts = append(counts, a.OwnedCount(c.Node))
			total += a.OwnedCount(c.Node)
			if moves := Rebalance(a, "org/service", c.Node, stay); len(moves) > 0 {
				t.Fatalf("%s still moves %v", c.Node, moves)
			}
		}
		if total != partitions || slices.Max(counts)-slices.Min(counts) > 1 {
			t.Fatalf("%d partitions are owned as %v", partitions, counts)
		}
	})
}

// TestChooseWitnesses checks number and spread of witnesses.
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
					t.Fatalf("%d witnesses in %s, %d in %s", count, other, used[centre], centre)
				}
			}
		}
		kept := ChooseWitnesses("org/service", chosen, all, DefaultWitnesses)
		if !slices.Equal(kept, chosen) {
			t.Fatalf("chose %v, then %v without need", chosen, kept)
		}
	})
}

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

func TestReplaceWitnessesTwice(t *testing.T) {
	a := &Assignment{Partitions: []Partition{{Owner: "n", Tenure: 1}}, Witnesses: []string{"a"}, Epoch: 1}
	joint, err := ReplaceWitnesses(a, []string{"b"})
	if err != nil || joint.Epoch != 2 || !slices.Equal(joint.PreviousWitnesses, []string{"a"}) {
		t.Fatalf("%+v, %v", joint, err)
	}
	if _, err := ReplaceWitnesses(joint, []string{"c"}); err == nil {
		t.Error("replaced witnesses while the last replacement goes on")
	}
	if last := DropPreviousWitnesses(joint); last.Epoch != 3 || last.PreviousWitnesses != nil {
		t.Errorf("%+v", last)
	}
}

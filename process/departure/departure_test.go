package departure

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A list is bounded, but the latest departures must never be dropped for older ones: it is
// their late reports that still arrive.
func TestListKeepsTheLatestDepartures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list List
		var order []Departure
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			d := Departure{Instance: fmt.Sprint("i-", rapid.IntRange(0, 12).Draw(t, "instance")), StartedMillis: int64(i)}
			before := fmt.Sprint(list)
			shared := list
			if rapid.Bool().Draw(t, "merged") {
				list = (List{d}).Merge(list)
			} else {
				list = list.Add(d)
			}
			if fmt.Sprint(shared) != before {
				t.Fatalf("a shared list changed from %s to %v", before, shared)
			}
			order = append(order, d)
			if len(list) > MaxListed {
				t.Fatalf("%d departures are kept", len(list))
			}
			for _, latest := range order[max(0, len(order)-MaxListed):] {
				if !list.Includes(latest.Instance, latest.StartedMillis) {
					t.Fatalf("%v is missing in %v", latest, list)
				}
			}
		}
	})
}

// A process that starts later under the same id has not departed.
func TestLaterProcessOfAnInstanceHasNotDeparted(t *testing.T) {
	list := List{}.Add(Departure{Instance: "i-1", StartedMillis: 1000})
	for _, c := range []struct {
		instance string
		started  int64
		want     bool
	}{{"i-1", 999, true}, {"i-1", 1000, true}, {"i-1", 1001, false}, {"i-2", 1, false}} {
		if got := list.Includes(c.instance, c.started); got != c.want {
			t.Errorf("%s started at %d departed: %t", c.instance, c.started, got)
		}
	}
}

// A holder must keep what a node knew before a restart although the node then states less,
// and its size must not grow with nodes that are gone.
func TestHolderKeepsWhatANodeForgets(t *testing.T) {
	h := NewHolder()
	first, second := Departure{"i-1", 1}, Departure{"i-2", 2}
	h.Hold("n", List{first})
	if got := h.Hold("n", List{second}); !got.IncludesAll(List{first, second}) || !h.Held("n").IncludesAll(got) {
		t.Fatalf("held: %v", got)
	}
	for i := range maxHeldNodes {
		h.Hold(fmt.Sprint("n", i), List{first})
	}
	if len(h.lists) != maxHeldNodes || h.Held("n") != nil || h.Held(fmt.Sprint("n", maxHeldNodes-1)) == nil {
		t.Errorf("%d lists, not the oldest one was dropped", len(h.lists))
	}
}

package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/connection/load"
	_ "verbenatrestle/internal/testseed"
)

// watch has a property fail when a table takes older news over newer ones.
func watch(t *rapid.T, n *fleetNode) {
	name := n.member.Node
	n.table.Subscribe(func(c Change) {
		before, after := c.Before, c.After
		if before.Node == "" || after.Node == "" || after.Node == name {
			return
		}
		older := after.Incarnation < before.Incarnation ||
			after.Incarnation == before.Incarnation && (after.Sequence < before.Sequence ||
				after.Refutations < before.Refutations || after.ConfigVersion < before.ConfigVersion)
		if older {
			t.Fatalf("%s took %+v over %+v", name, after, before)
		}
		if before.Status == Left && after.Status != Left && after.Incarnation == before.Incarnation {
			t.Fatalf("%s raised %s from the left", name, after.Node)
		}
	})
}

// history is the state machine of the property: faults in any order.
type history struct {
	fleet *fleet
	group map[int]int
}

func (h *history) pick(t *rapid.T) *fleetNode {
	return h.fleet.nodes[rapid.IntRange(0, len(h.fleet.nodes)-1).Draw(t, "node")]
}

func (h *history) step(t *rapid.T) {
	n := h.pick(t)
	action := rapid.SampledFrom([]string{"kill", "start", "start", "clock back", "leave", "freeze", "thaw", "cut", "heal", "update", "update", "nothing"}).Draw(t, "action")
	running := n.alive && !n.frozen && !n.left
	switch {
	case action == "kill" && n.alive:
		h.fleet.kill(n)
	case action == "start" && !n.alive:
		h.fleet.start(n)
		watch(t, n)
	case action == "clock back" && !n.alive:
		h.fleet.now = h.fleet.now.Add(-time.Hour)
		h.fleet.start(n)
		h.fleet.now = h.fleet.now.Add(time.Hour)
		watch(t, n)
	case action == "leave" && running:
		h.fleet.leave(n)
	case action == "freeze" && running:
		h.fleet.freeze(n)
	case action == "thaw" && n.frozen:
		h.fleet.thaw(n)
	case action == "cut":
		for i := range h.fleet.nodes {
			h.group[i] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case action == "heal":
		clear(h.group)
	case action == "update" && running:
		state := rapid.SampledFrom([]load.State{load.Cold, load.Warm, load.Draining}).Draw(t, "state")
		h.fleet.send(n, n.table.UpdateSelf(h.fleet.now, func(m *Member) {
			m.Target = state
			m.ConfigVersion++
		}))
	}
	h.fleet.runFor(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
}

// end stops the faults: nobody is frozen or cut off, nothing is lost.
func (h *history) end() {
	clear(h.group)
	h.fleet.lose, h.fleet.double, h.fleet.spread = 0, 0, time.Millisecond
	for _, n := range h.fleet.nodes {
		if n.frozen && n.alive {
			h.fleet.thaw(n)
		}
	}
}

func TestTablesConvergeAfterAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{ForgetAfter: rapid.SampledFrom([]time.Duration{40 * time.Second, 2 * time.Hour}).Draw(t, "forget")}
		h := &history{
			fleet: newFleet(rapid.IntRange(2, 12).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), options),
			group: map[int]int{},
		}
		f := h.fleet
		if options.ForgetAfter < time.Hour {
			f.reseed = 30 * time.Second
		}
		f.cut = func(a, b *fleetNode) bool { return h.group[a.index] != h.group[b.index] }
		f.startAll(5 * time.Second)
		for _, n := range f.nodes {
			watch(t, n)
		}
		f.lose, f.double, f.spread = 0.1, 0.1, 300*time.Millisecond
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			h.step(t)
		}
		h.end()
		if took, d := f.settle(5 * time.Minute); d != "" {
			t.Fatalf("after %s: %s", took, d)
		}
		f.runFor(time.Minute)
		if d := f.disagreement(); d != "" {
			t.Fatalf("did not last: %s", d)
		}
		for _, n := range f.nodes {
			if n.alive && len(n.table.byID) >= len(f.nodes) {
				t.Fatalf("%s keeps %d entries of %d nodes", n.member.Node, len(n.table.byID), len(f.nodes))
			}
		}
	})
}

// TestMergeRules offers records of one member in any order: the table must end
// with the newest content and the strongest life.
func TestMergeRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 1, Options{})
		a, b := f.nodes[0], f.nodes[1]
		f.start(a)
		watch(t, a)
		var newest Member
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			m := b.member
			m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			m.Sequence = rapid.Uint64Range(0, 3).Draw(t, "sequence")
			m.Refutations = rapid.Uint64Range(0, 3).Draw(t, "refutations")
			m.ConfigVersion = rapid.Uint64Range(0, 3).Draw(t, "version")
			m.Status = Status(rapid.IntRange(0, int(Left)).Draw(t, "status"))
			m.Instance = fmt.Sprint(m.Incarnation, m.Sequence)
			a.table.Handle(f.now, b.member.Node, &Gossip{Updates: Updates{Records: []Member{m}}})
			if newest.staleContent(&m) && (newest.Node != "" || m.Status.Present()) {
				newest = m
			}
		}
		got, _ := a.table.Lookup(b.member.Node)
		if got.Incarnation != newest.Incarnation || got.Instance != newest.Instance {
			t.Fatalf("has %+v, newest was %+v", got, newest)
		}
	})
}

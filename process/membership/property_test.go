package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/connection/load"
	_ "verbenatrestle/internal/testseed"
)

// failOnStaleUpdate fails the property when the table of n replaces an entry by
// an older one, or when a member that has left returns in the same incarnation.
func failOnStaleUpdate(t *rapid.T, n *fleetNode) {
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
			t.Fatalf("%s replaced %+v by the older %+v", name, after, before)
		}
		if before.Status == Left && after.Status != Left && after.Incarnation == before.Incarnation {
			t.Fatalf("%s changed %s from left to %s in the same incarnation", name, after.Node, after.Status)
		}
	})
}

// faultInjector applies random faults and changes to a fleet.
type faultInjector struct {
	fleet *fleet
	sides map[int]int
}

func (injector *faultInjector) pickNode(t *rapid.T) *fleetNode {
	return injector.fleet.nodes[rapid.IntRange(0, len(injector.fleet.nodes)-1).Draw(t, "node")]
}

func (injector *faultInjector) applyStep(t *rapid.T) {
	n := injector.pickNode(t)
	action := rapid.SampledFrom([]string{"kill", "start", "start", "clock back", "leave", "freeze", "thaw", "cut", "heal", "update", "update", "nothing"}).Draw(t, "action")
	running := n.alive && !n.frozen && !n.left
	switch {
	case action == "kill" && n.alive:
		injector.fleet.kill(n)
	case action == "start" && !n.alive:
		injector.fleet.start(n)
		failOnStaleUpdate(t, n)
	case action == "clock back" && !n.alive:
		injector.fleet.now = injector.fleet.now.Add(-time.Hour)
		injector.fleet.start(n)
		injector.fleet.now = injector.fleet.now.Add(time.Hour)
		failOnStaleUpdate(t, n)
	case action == "leave" && running:
		injector.fleet.leave(n)
	case action == "freeze" && running:
		injector.fleet.freeze(n)
	case action == "thaw" && n.frozen:
		injector.fleet.thaw(n)
	case action == "cut":
		for i := range injector.fleet.nodes {
			injector.sides[i] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case action == "heal":
		clear(injector.sides)
	case action == "update" && running:
		state := rapid.SampledFrom([]load.State{load.Cold, load.Warm, load.Draining}).Draw(t, "state")
		injector.fleet.send(n, n.table.UpdateSelf(injector.fleet.now, func(m *Member) {
			m.Target = state
			m.ConfigVersion++
		}))
	}
	injector.fleet.runFor(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
}

// endFaults thaws frozen nodes and ends partitions and the loss of messages.
func (injector *faultInjector) endFaults() {
	clear(injector.sides)
	injector.fleet.lossRate, injector.fleet.duplicateRate, injector.fleet.jitter = 0, 0, time.Millisecond
	for _, n := range injector.fleet.nodes {
		if n.frozen && n.alive {
			injector.fleet.thaw(n)
		}
	}
}

// TestTablesConvergeAfterAnyHistory checks that after any sequence of faults
// the tables agree with the actual state of the nodes, and keep doing so.
func TestTablesConvergeAfterAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{ForgetAfter: rapid.SampledFrom([]time.Duration{40 * time.Second, 2 * time.Hour}).Draw(t, "forget")}
		injector := &faultInjector{
			fleet: newFleet(rapid.IntRange(2, 12).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), options),
			sides: map[int]int{},
		}
		f := injector.fleet
		if options.ForgetAfter < time.Hour {
			f.reseedInterval = 30 * time.Second
		}
		f.partitioned = func(a, b *fleetNode) bool { return injector.sides[a.index] != injector.sides[b.index] }
		f.startAll(5 * time.Second)
		for _, n := range f.nodes {
			failOnStaleUpdate(t, n)
		}
		f.lossRate, f.duplicateRate, f.jitter = 0.1, 0.1, 300*time.Millisecond
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			injector.applyStep(t)
		}
		injector.endFaults()
		if took, d := f.awaitAgreement(5 * time.Minute); d != "" {
			t.Fatalf("after %s: %s", took, d)
		}
		f.runFor(time.Minute)
		if d := f.disagreement(); d != "" {
			t.Fatalf("the tables agreed, but no longer a minute later: %s", d)
		}
		for _, n := range f.nodes {
			if n.alive && len(n.table.byID) >= len(f.nodes) {
				t.Fatalf("%s keeps %d entries of %d nodes", n.member.Node, len(n.table.byID), len(f.nodes))
			}
		}
	})
}

// TestMergeRules sends records of one member in any order. The table has to end
// with the content of the newest one, by incarnation and then by sequence.
func TestMergeRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 1, Options{})
		a, b := f.nodes[0], f.nodes[1]
		f.start(a)
		failOnStaleUpdate(t, a)
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
			if newest.contentOlderThan(&m) && (newest.Node != "" || m.Status.Present()) {
				newest = m
			}
		}
		got, _ := a.table.Lookup(b.member.Node)
		if got.Incarnation != newest.Incarnation || got.Instance != newest.Instance {
			t.Fatalf("got %+v, want the newest record %+v", got, newest)
		}
	})
}

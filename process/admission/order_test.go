package admission

import (
	"testing"
	"time"
)

// Guards against a late announcement that replaces the process which started after it, and
// against a living process that is locked out by a wrong start or a replaced instance.
func TestAnnouncementsAreOrderedByStart(t *testing.T) {
	announced := func(instance string, started int64) Target {
		return Target{Instance: instance, StartedMillis: started, Slots: slots, ColdLimit: coldLimit}
	}
	for _, c := range []struct {
		name    string
		earlier []Target
		lost    bool
		next    Target
		want    string
	}{
		{"later start", []Target{announced("a", 1)}, false, announced("b", 2), "b"},
		{"earlier start of an unknown instance", []Target{announced("b", 2)}, false, announced("a", 1), "b"},
		{"same start", []Target{announced("b", 2)}, false, announced("a", 2), "b"},
		{"earlier start, the current one is lost", []Target{announced("b", 2)}, true, announced("a", 1), "a"},
		{"no start", []Target{announced("a", 0)}, false, announced("b", 0), "b"},
		{"no start, replaced", []Target{announced("a", 0), announced("b", 0)}, false, announced("a", 0), "b"},
		{"no start, replaced by one with a start", []Target{announced("a", 0), announced("b", 2)}, false, announced("a", 0), "b"},
		{"no start, replaced, the current one is lost", []Target{announced("a", 0), announced("b", 0)}, true, announced("a", 0), "a"},
		{"replaced, with a later start", []Target{announced("a", 0), announced("b", 1)}, false, announced("a", 2), "a"},
	} {
		controller := newController(t, "fixed")
		for _, target := range c.earlier {
			controller.Announce(target, start)
		}
		if c.lost {
			controller.TargetLost(false, start)
		}
		now := start.Add(time.Second)
		if outdated := controller.Outdated(c.next); outdated != (c.want != c.next.Instance) {
			t.Errorf("%s: outdated %t", c.name, outdated)
		}
		controller.Announce(c.next, now)
		if got := controller.target.Instance; got != c.want {
			t.Errorf("%s: the target is %q, want %q", c.name, got, c.want)
		}
		if got := controller.Announce(c.next, now); got != nil || controller.target.Instance != c.want {
			t.Errorf("%s, again: the target is %q, want %q", c.name, controller.target.Instance, c.want)
		}
	}
}

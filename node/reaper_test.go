package node

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"verbenatrestle/process/membership"
	"verbenatrestle/process/platform"
)

// memberStore is an in-memory store of member objects.
type memberStore map[string]platform.Object

func (s memberStore) Get(_ context.Context, key string) (platform.Object, error) {
	o, ok := s[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s memberStore) Delete(_ context.Context, key string, ifVersion uint64) error {
	if s[key].Version != ifVersion {
		return &platform.ConflictError{}
	}
	delete(s, key)
	return nil
}

// Exactly one node must remove the object of a member that stays dead. No node
// may remove the object of a member that is alive, came back, or has not been dead
// for long enough.
func TestReaperRemovesOnlyMembersThatStayDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		store := memberStore{}
		var members []membership.Member
		back := make(map[string]bool)
		for _, name := range names {
			status := rapid.SampledFrom([]membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left}).Draw(t, name)
			back[name] = rapid.Bool().Draw(t, name+" came back")
			m := membership.Member{Node: name, Incarnation: 5, Status: status}
			members = append(members, m)
			if back[name] {
				m.Incarnation = 6
			}
			value, _ := json.Marshal(m)
			store[memberPrefix+name] = platform.Object{Version: 9, Value: value}
		}
		start := time.Unix(1000, 0)
		early := start.Add(time.Duration(rapid.Int64Range(0, int64(reapAfter)-1).Draw(t, "early")))
		var removed []string
		for _, m := range members {
			if !m.Status.Present() {
				continue
			}
			r := &reaper{self: m.Node, client: store, logger: log.NewNopLogger()}
			if due := append(r.due(members, start), r.due(members, early)...); len(due) > 0 {
				t.Fatalf("%s removes %v after %v", m.Node, due, early.Sub(start))
			}
			for _, gone := range r.due(members, start.Add(reapAfter)) {
				if err := r.remove(context.Background(), gone); err != nil {
					t.Fatal(err)
				}
				removed = append(removed, gone.Node)
			}
		}
		living := slices.ContainsFunc(members, func(m membership.Member) bool { return m.Status.Present() })
		for _, m := range members {
			_, kept := store[memberPrefix+m.Node]
			want := m.Status != membership.Dead || back[m.Node] || !living
			if kept != want {
				t.Fatalf("object of %s (%v, came back %v) kept: %v", m.Node, m.Status, back[m.Node], kept)
			}
		}
		if len(slices.Compact(slices.Sorted(slices.Values(removed)))) != len(removed) {
			t.Fatalf("removed twice: %v", removed)
		}
	})
}

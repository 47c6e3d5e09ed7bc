package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/platform"
)

const (
	// reapAfter is how long a member must have been dead before its object at the
	// platform is removed. If a network partition separates regions for an hour,
	// their members are alive again before this time has passed.
	reapAfter = 90 * time.Minute
	// reapInterval is the mean time between two checks for such members.
	reapInterval = time.Minute
)

// memberObjects is the part of platform.Client that the reaper uses.
type memberObjects interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
}

// reaper removes the member objects of nodes that are gone for good. The object
// of a dead member is removed by its successor: the next present member in the
// order of names.
type reaper struct {
	self    string
	client  memberObjects
	members func() []membership.Member
	logger  log.Logger
	// deadSince holds the time at which each dead member was first seen dead.
	deadSince map[string]time.Time
}

// run removes member objects until the context ends.
func (r *reaper) run(ctx context.Context) {
	for wait.For(ctx, reapInterval/2+rand.N(reapInterval)) {
		for _, m := range r.due(r.members(), time.Now()) {
			if err := r.remove(ctx, m); err != nil {
				_ = level.Debug(r.logger).Log("msg", "remove member object", "peer", m.Node, "err", err)
			}
		}
	}
}

// due returns the members whose objects this node must remove now, in the order
// of members, which must be sorted by name.
func (r *reaper) due(members []membership.Member, now time.Time) []membership.Member {
	dead := make(map[string]time.Time)
	var out []membership.Member
	for _, m := range members {
		if m.Status != membership.Dead {
			continue
		}
		first, known := r.deadSince[m.Node]
		if !known {
			first = now
		}
		dead[m.Node] = first
		if now.Sub(first) >= reapAfter && successor(members, m.Node) == r.self {
			out = append(out, m)
		}
	}
	r.deadSince = dead
	return out
}

// successor returns the next present member after node in the order of names, which
// wraps around. It returns "" if no member is present.
func successor(members []membership.Member, node string) string {
	at, _ := slices.BinarySearchFunc(members, node, func(m membership.Member, name string) int {
		return strings.Compare(m.Node, name)
	})
	for i := range members {
		m := members[(at+1+i)%len(members)]
		if m.Status.Present() {
			return m.Node
		}
	}
	return ""
}

// remove deletes the object of a dead member, unless a later incarnation of the
// node has written it.
func (r *reaper) remove(ctx context.Context, m membership.Member) error {
	key := memberPrefix + m.Node
	object, err := r.client.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var written membership.Member
	if err := json.Unmarshal(object.Value, &written); err != nil {
		return errors.Wrapf(err, "decode object of member %s", m.Node)
	}
	if written.Incarnation > m.Incarnation {
		return nil
	}
	return r.client.Delete(ctx, key, object.Version)
}

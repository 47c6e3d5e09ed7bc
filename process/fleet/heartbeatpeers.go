package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullMeshNodes is the size of a fleet up to which all nodes exchange heartbeats
	// with all others.
	fullMeshNodes = 96
	// localTargets and remoteTargets are about the numbers of targets of each service,
	// in the data centre of a node and in all others together, with whose nodes it
	// exchanges heartbeats in a larger fleet. Targets in the own data centre that
	// can't be used are replaced by as many others.
	localTargets  = 8
	remoteTargets = 6
	// minUsableShare bounds the effect of unusable heartbeat peers on the number of
	// those that are chosen.
	minUsableShare = 0.25
	// keepFactor is the factor by which the hash of a pair may exceed the limit before
	// a peer that was chosen is dropped, so that the choice does not change with each
	// small change of the counts.
	keepFactor = 1.3
	// settleTime is how long a chosen peer may take to answer before it counts as
	// unusable.
	settleTime = time.Second
	// wantedTTL is how long a peer that chose this node gets heartbeats after its
	// latest message.
	wantedTTL = 2 * time.Second
	// statusOnlyIntervalPerNode is the interval of statuses to status-only nodes for
	// each node of the fleet, and minStatusOnlyInterval its lower bound. Together
	// they bound the number of such statuses that a node sends per second.
	statusOnlyIntervalPerNode = 250 * time.Millisecond
	minStatusOnlyInterval     = time.Second
	// missedIntervals is the number of intervals without a status after which a
	// status-only node counts as unreachable.
	missedIntervals = 2.6
)

// Self describes the node that a Table belongs to.
type Self struct {
	// Node, DataCentre and Service are as in Status.
	Node, DataCentre, Service string
	// DataCentresOut names the data centres that are out of service.
	DataCentresOut []string
}

// groupKey selects the targets of a service in the data centre of this node, or those
// in all others.
type groupKey struct {
	service string
	local   bool
}

// group holds the targets of a groupKey.
type group struct {
	// pairs holds the hash of each pair of this node and one beside a target.
	pairs []float64
	// settled counts the heartbeat peers that had time to answer, and usable those of
	// them that requests can be sent to.
	settled, usable int
}

// usableShare estimates the share of the targets that requests can be sent to.
func (g *group) usableShare() float64 {
	return max(minUsableShare, float64(g.usable+1)/float64(g.settled+1))
}

// limit returns the highest hash that is chosen, so that about the given number of
// usable targets are.
func (g *group) limit(targets float64) float64 {
	slices.Sort(g.pairs)
	count := int(math.Ceil(targets / g.usableShare()))
	return g.pairs[min(count, len(g.pairs))-1]
}

// missing estimates how many of the localTargets that the group could have, it has
// not, because they can't be used.
func (g *group) missing() float64 {
	return float64(min(localTargets, len(g.pairs))) * (1 - float64(g.usable+1)/float64(g.settled+1))
}

// SelectHeartbeatPeers decides with which peers this node exchanges heartbeats; the
// others become status-only. In a large fleet a hash of both node names selects some
// targets of each service, those of the own data centre first, so that both nodes of
// a pair mostly agree. If they don't, the Wanted flag of their messages settles it:
// a peer that chose this node gets heartbeats too. In a small fleet all peers are
// selected. It also removes the peers that were silent for Settings.ForgetAfter.
func (t *Table) SelectHeartbeatPeers(self Self, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.forget(now)
	t.statusOnlyInterval = max(minStatusOnlyInterval, statusOnlyIntervalPerNode*time.Duration(len(t.peers)))
	if len(t.peers) < fullMeshNodes {
		for _, p := range t.peers {
			p.choose(now)
		}
		return
	}
	limits := t.choiceLimits(now)
	for _, p := range t.peers {
		limit := limits.of(&p.Status, self)
		if p.pair <= limit || !p.chosenAt.IsZero() && p.pair <= limit*keepFactor {
			p.choose(now)
			continue
		}
		p.chosenAt = time.Time{}
		p.StatusOnly = p.wantedAt.IsZero() || now.Sub(p.wantedAt) >= wantedTTL
		if p.StatusOnly && p.statusAt.IsZero() {
			// Spreads the first statuses over the interval.
			p.statusAt = now.Add(-time.Duration(p.pair * float64(t.statusOnlyInterval)))
		}
	}
}

// choose marks a peer as chosen for heartbeats.
func (p *Peer) choose(now time.Time) {
	p.StatusOnly = false
	if p.chosenAt.IsZero() {
		p.chosenAt = now
	}
}

// choiceLimits holds the limits of the hash of a pair up to which a peer is chosen.
type choiceLimits struct {
	// own holds the limits for the targets that this node needs.
	own map[groupKey]float64
	// local is the limit for peers in the own data centre that need the target beside
	// this node, and remote that for peers of each other data centre.
	local  float64
	remote map[string]float64
}

// of returns the limit for a peer.
func (l *choiceLimits) of(s *Status, self Self) float64 {
	local := s.DataCentre == self.DataCentre
	limit := l.own[groupKey{s.Service, local}]
	if local {
		return max(limit, l.local)
	}
	return max(limit, l.remote[s.DataCentre])
}

// choiceLimits groups the targets and returns the limits. Nodes that need the target
// beside this one choose about localTargets or remoteTargets of its service; the
// limits for them make this node known to those that would, so that one that has just
// started gets requests. The caller holds the lock.
func (t *Table) choiceLimits(now time.Time) choiceLimits {
	groups := make(map[groupKey]*group)
	// same counts the targets of the own service by data centre.
	same := map[string]int{t.self.DataCentre: 1}
	sameTotal := 1
	for _, p := range t.peers {
		s := &p.Status
		if s.Service == "" {
			continue
		}
		if s.Service == t.self.Service {
			same[s.DataCentre]++
			sameTotal++
		}
		key := groupKey{s.Service, s.DataCentre == t.self.DataCentre}
		g := groups[key]
		if g == nil {
			g = &group{}
			groups[key] = g
		}
		if p.pair == 0 {
			p.pair = pairHash(t.self.Node, s.Node)
		}
		g.pairs = append(g.pairs, p.pair)
		if !p.chosenAt.IsZero() && now.Sub(p.chosenAt) >= settleTime {
			g.settled++
			if s.Accepting && !s.Stopping && t.reachable(p, now) && !slices.Contains(t.self.DataCentresOut, s.DataCentre) {
				g.usable++
			}
		}
	}
	limits := choiceLimits{own: make(map[groupKey]float64), remote: make(map[string]float64)}
	for key, g := range groups {
		targets := float64(localTargets)
		if !key.local {
			targets = remoteTargets
			if local := groups[groupKey{key.service, true}]; local != nil {
				targets += local.missing()
			}
		}
		limits.own[key] = g.limit(targets)
	}
	limits.local = min(1, localTargets/float64(same[t.self.DataCentre]))
	for _, p := range t.peers {
		dataCentre := p.Status.DataCentre
		if _, done := limits.remote[dataCentre]; !done {
			limits.remote[dataCentre] = min(1, remoteTargets/max(1, float64(sameTotal-same[dataCentre])))
		}
	}
	return limits
}

// StatusOnlyInterval returns the interval of statuses to status-only nodes.
func (t *Table) StatusOnlyInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statusOnlyInterval
}

// pairHash returns a number above 0 and up to 1 that is the same at both nodes of a
// pair.
func pairHash(a, b string) float64 {
	if b < a {
		a, b = b, a
	}
	return (float64(xxhash.Sum64String(a+"|"+b)) + 1) / math.MaxUint64
}

// unreachableAfter returns the time without a datagram of the peer after which
// it counts as unreachable.
func (t *Table) unreachableAfter(p *Peer) time.Duration {
	if p.StatusOnly {
		return max(t.settings.UnreachableAfter, time.Duration(missedIntervals*float64(t.statusOnlyInterval)))
	}
	switch {
	case len(t.peers) < fullMeshNodes:
		return t.settings.UnreachableAfter
	case t.slowHeartbeats(p):
		return remoteSilenceFactor * t.settings.UnreachableAfter
	}
	return time.Duration(localSilenceFactor * float64(t.settings.UnreachableAfter))
}

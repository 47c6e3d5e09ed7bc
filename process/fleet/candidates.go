package fleet

import (
	"slices"
	"strings"
	"time"

	"verbenatrestle/process/gate"
)

// Candidate is a target that requests may be sent to.
type Candidate struct {
	// Node names the node beside the target.
	Node string
	// HopAddress is where that node takes requests for its target, "IP:port".
	HopAddress string
	// Incarnation identifies the run of the node's process.
	Incarnation uint64
	// Instance names the target.
	Instance string
	// DataCentre is where the target runs.
	DataCentre string
	// Slots, Running, Waiting and Slowdown are the last known load, as in Status.
	Slots    int
	Running  int
	Waiting  int
	Slowdown int
	// FailurePercent is the share of the target's runs that fail.
	FailurePercent int
	// InFlight counts the requests of this node that are in flight to the target.
	InFlight int
	// ColdRemaining is how much longer the target is cold. It is zero or negative if
	// the target is warm.
	ColdRemaining time.Duration
	// LoadAge is the age of the load.
	LoadAge time.Duration
	// StatusOnly means that the load is updated less often, since the node sends no
	// heartbeats.
	StatusOnly bool
}

// Candidates returns the reachable targets of a service that accept requests and
// whose nodes don't shut down, ordered by node.
func (t *Table) Candidates(service string, now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Candidate
	for _, p := range t.peers {
		s := &p.Status
		if s.Service != service || !s.Accepting || s.Stopping || !t.reachable(p, now) {
			continue
		}
		age := now.Sub(p.LoadAt)
		found = append(found, Candidate{
			Node: s.Node, HopAddress: s.HopAddress, Incarnation: s.Incarnation, Instance: s.Instance,
			DataCentre: s.DataCentre, Slots: s.Slots, Running: s.Running, Waiting: s.Waiting,
			Slowdown: s.Slowdown, InFlight: p.inFlight, ColdRemaining: s.ColdRemaining() - age, LoadAge: age,
			FailurePercent: s.FailurePercent, StatusOnly: p.StatusOnly,
		})
	}
	slices.SortFunc(found, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	return found
}

// PeerTargets counts the targets beside the nodes that datagrams arrived from
// recently, for the gate of a target of the given service.
func (t *Table) PeerTargets(service string, now time.Time) gate.PeerTargets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets gate.PeerTargets
	for _, p := range t.peers {
		if !t.receivedRecently(p, now) {
			continue
		}
		if p.Status.SlowWhenFull {
			targets.AllSlowWhenFull++
		}
		if p.Status.Service != service {
			continue
		}
		targets.Targets++
		if p.Status.SlowWhenFull {
			targets.SlowWhenFull++
		}
	}
	return targets
}

package fleet

import (
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
// whose nodes don't shut down, ordered by node. Those of status-only peers are only
// returned if there are no others.
func (t *Table) Candidates(service string, now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Candidate
	statusOnly := 0
	for _, p := range t.byService[service] {
		if !p.Status.Accepting || p.Status.Stopping || !t.reachable(p, now) {
			continue
		}
		if p.StatusOnly {
			statusOnly++
			continue
		}
		found = append(found, p.candidate(now))
	}
	if len(found) > 0 || statusOnly == 0 {
		return found
	}
	for _, p := range t.byService[service] {
		if p.Status.Accepting && !p.Status.Stopping && t.reachable(p, now) {
			found = append(found, p.candidate(now))
		}
	}
	return found
}

// candidate returns the target beside the peer.
func (p *Peer) candidate(now time.Time) Candidate {
	s := &p.Status
	age := now.Sub(p.LoadAt)
	return Candidate{
		Node: s.Node, HopAddress: s.HopAddress, Incarnation: s.Incarnation, Instance: s.Instance,
		DataCentre: s.DataCentre, Slots: s.Slots, Running: s.Running, Waiting: s.Waiting,
		Slowdown: s.Slowdown, InFlight: p.inFlight, ColdRemaining: s.ColdRemaining() - age, LoadAge: age,
		FailurePercent: s.FailurePercent, StatusOnly: p.StatusOnly,
	}
}

// PeerTargets counts the targets beside the other nodes, for the gate of a target of
// the given service. Nodes of heartbeat peers count if something arrived from them, or they
// were added, within the time window of the retry budget: a node that is silent for a
// shorter time may have used its share. The other nodes are taken to run.
func (t *Table) PeerTargets(service string, window time.Duration, now time.Time) gate.PeerTargets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets gate.PeerTargets
	for _, p := range t.peers {
		if !p.StatusOnly && now.Sub(p.lastReceived()) >= window {
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

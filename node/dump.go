package node

import (
	"time"

	"verbenatrestle/connection/load"
)

// stateParts returns the functions that provide the parts of the state dump, by
// the name of the part.
func (n *Node) stateParts() map[string]func() any {
	return map[string]func() any{
		"node":          n.nodeState,
		"members":       func() any { return n.table.Members() },
		"links":         func() any { return n.links.State() },
		"ownership":     n.owners.State,
		"balance":       func() any { return n.balance.Snapshot(time.Now()) },
		"target":        n.targetState,
		"quarantine":    func() any { return n.quarantine.Export() },
		"configuration": n.configState,
	}
}

// nodeView is the part "node" of the state dump.
type nodeView struct {
	Name        string    `json:"name"`
	DataCentre  string    `json:"data_centre"`
	Region      string    `json:"region"`
	Incarnation uint64    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Ready       bool      `json:"ready"`
	Stopping    bool      `json:"leaving"`
	InFlight    int64     `json:"in_flight"`
	Neighbours  []string  `json:"neighbours"`
}

func (n *Node) nodeState() any {
	return nodeView{
		Name:        n.settings.Name,
		DataCentre:  n.settings.DataCentre,
		Region:      n.settings.Region,
		Incarnation: n.incarnation,
		Started:     n.started,
		Ready:       n.ready(),
		Stopping:    n.stopping.Load(),
		InFlight:    n.ingress.inFlight.Load(),
		Neighbours:  n.table.Neighbours(),
	}
}

// targetView is the part "target" of the state dump.
type targetView struct {
	Service     string    `json:"service"`
	Address     string    `json:"address"`
	Instance    string    `json:"instance"`
	Slots       int       `json:"slots"`
	LastSeen    time.Time `json:"last_seen"`
	State       string    `json:"state"`
	InFlight    int       `json:"in_flight"`
	Limit       int       `json:"limit"`
	LatencyUS   int64     `json:"latency_us"`
	Connections int64     `json:"connections"`
}

func (n *Node) targetState() any {
	n.target.mu.Lock()
	a := n.target.announced
	seen := n.target.lastSeen
	n.target.mu.Unlock()
	sample := n.proxy.admission.Sample(time.Now())
	view := targetView{
		Service:   string(a.service()),
		Address:   a.Address,
		Instance:  a.Instance,
		Slots:     a.Slots,
		LastSeen:  seen,
		State:     sample.State.String(),
		InFlight:  sample.InFlight,
		Limit:     sample.Limit,
		LatencyUS: sample.Latency.Microseconds(),
	}
	if sample.State == load.Absent {
		view.Service = ""
	}
	if client := n.proxy.client.Load(); client != nil {
		view.Connections = client.openCount.Load()
	}
	return view
}

// configView is the part "configuration" of the state dump.
type configView struct {
	Version        uint64    `json:"version"`
	AcceptedAt     time.Time `json:"accepted_at"`
	InForceSince   time.Time `json:"in_force_since"`
	DelayMS        int64     `json:"delay_ms"`
	Bytes          int       `json:"bytes"`
	DataCentresOut []string  `json:"data_centres_out"`
	TargetsOut     []string  `json:"targets_out"`
}

func (n *Node) configState() any {
	active := n.config.store.Active()
	if active == nil {
		return configView{}
	}
	return configView{
		Version:        active.Snapshot.Version(),
		AcceptedAt:     active.Snapshot.AcceptedAt(),
		InForceSince:   active.Since,
		DelayMS:        active.PropagationDelay().Milliseconds(),
		Bytes:          len(active.Encoded),
		DataCentresOut: active.Snapshot.DataCentresOut(),
		TargetsOut:     active.Snapshot.TargetsOut(),
	}
}

package fleet

import "time"

// Summary counts the peers of a node.
type Summary struct {
	// Known is the number of nodes that are known, and Heartbeat that of the nodes
	// with which heartbeats are exchanged.
	Known     int `json:"known"`
	Heartbeat int `json:"heartbeat"`
	// Reachable counts the heartbeat peers that are reachable.
	Reachable int `json:"reachable"`
	// OtherConfig counts the heartbeat peers that have another configuration than the
	// given one.
	OtherConfig int `json:"other_config"`
	// Services holds the targets of each service.
	Services map[string]ServiceSummary `json:"services"`
}

// ServiceSummary counts the targets of a service beside other nodes.
type ServiceSummary struct {
	// Known counts all, and Candidates those that requests may be sent to.
	Known      int `json:"known"`
	Candidates int `json:"candidates"`
}

// Summary returns the counts of the peers. ConfigNumber is that of the configuration
// to compare with.
func (t *Table) Summary(configNumber uint64, now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Known: len(t.peers), Services: make(map[string]ServiceSummary)}
	for service, peers := range t.byService {
		counts := ServiceSummary{Known: len(peers)}
		for _, p := range peers {
			if !p.StatusOnly && p.Status.Accepting && !p.Status.Stopping && t.reachable(p, now) {
				counts.Candidates++
			}
		}
		s.Services[service] = counts
	}
	for _, p := range t.peers {
		if p.StatusOnly {
			continue
		}
		s.Heartbeat++
		if !t.reachable(p, now) {
			continue
		}
		s.Reachable++
		if p.Status.ConfigNumber != configNumber {
			s.OtherConfig++
		}
	}
	return s
}

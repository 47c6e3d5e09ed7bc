package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/process/departure"
	"verbenatrestle/process/fleet"
)

// StatePath is the path of the state dump on the metrics address.
const StatePath = "/state"

// State is the dump of a node's state.
type State struct {
	Node        string  `json:"node"`
	DataCentre  string  `json:"data_centre"`
	Incarnation uint64  `json:"incarnation"`
	UptimeS     float64 `json:"uptime_s"`
	Stopping    bool    `json:"stopping"`
	// Target is the state of the target beside the node.
	Target TargetState `json:"target"`
	// Config is the active configuration.
	Config ConfigState `json:"config"`
	// Peers counts the other nodes, and Messages what was sent to them.
	Peers    fleet.Summary `json:"peers"`
	Messages MessageState  `json:"messages"`
	// Store is the state of the platform's store as this node sees it.
	Store StoreState `json:"store"`
	// PendingRequests counts the requests of callers and of other nodes in flight.
	PendingRequests int `json:"pending_requests"`
}

// TargetState is the state of the target beside the node.
type TargetState struct {
	Service   string  `json:"service"`
	Instance  string  `json:"instance"`
	Accepting bool    `json:"accepting"`
	Slots     int     `json:"slots"`
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	Slowdown  int     `json:"slowdown_percent"`
	ColdLeftS float64 `json:"cold_left_s"`
	// Departures holds the processes of the target that leave or have left.
	Departures departure.List `json:"departures,omitempty"`
}

// ConfigState is the active configuration. AgeS is the time since it became active
// here.
type ConfigState struct {
	Number        uint64  `json:"number"`
	AgeS          float64 `json:"age_s"`
	Source        string  `json:"source"`
	Routes        int     `json:"routes"`
	Organisations int     `json:"organisations"`
	Keys          int     `json:"keys"`
	// IgnoredFields names the fields of the configuration that have no effect.
	IgnoredFields  []string `json:"ignored_fields,omitempty"`
	DocumentBytes  int      `json:"document_bytes"`
	DataCentresOut []string `json:"data_centres_out"`
	OutRevision    uint64   `json:"out_revision"`
	// HeldByPeers names the data centres that peers keep out of service although the store
	// lacks the orders.
	HeldByPeers []string `json:"held_by_peers,omitempty"`
}

// MessageState holds the datagrams to peers since the start, and their mean rates per
// second.
type MessageState struct {
	Heartbeats    int64   `json:"heartbeats"`
	Statuses      int64   `json:"statuses"`
	Bytes         int64   `json:"bytes"`
	HeartbeatRate float64 `json:"heartbeats_per_s"`
	StatusRate    float64 `json:"statuses_per_s"`
	ByteRate      float64 `json:"bytes_per_s"`
}

// StoreState is the state of the store: whether the latest call succeeded, whether
// this node watches it for the fleet or probes whether it is back, and the number of
// calls since the start.
type StoreState struct {
	Reachable bool  `json:"reachable"`
	Watching  bool  `json:"watching"`
	Probing   bool  `json:"probing"`
	Watchers  int   `json:"watchers"`
	Calls     int64 `json:"calls"`
	// Era is the highest era of the store that the node knows.
	Era uint64 `json:"era"`
}

// State returns the present state.
func (n *Node) State(now time.Time) State {
	settings := n.settings()
	config := n.config.snapshot()
	uptime := now.Sub(n.startedAt).Seconds()
	role := n.store.watchRole()
	return State{
		Node: settings.Name, DataCentre: settings.DataCentre, Incarnation: n.peers.incarnation,
		UptimeS: uptime, Stopping: n.stopping.Load(),
		Target:          n.targetState(now),
		Config:          config.state(now),
		Peers:           n.fleet.Summary(config.number(), now),
		Messages:        n.metrics.messageState(uptime),
		Store:           StoreState{Reachable: n.store.reachable.Load(), Watching: role.Active, Probing: role.Probing, Watchers: role.Watchers, Calls: n.metrics.storeCalls(), Era: n.store.era.Load()},
		PendingRequests: n.callerServer.Pending() + n.hopServer.Pending(),
	}
}

// targetState returns the state of the local target.
func (n *Node) targetState(now time.Time) TargetState {
	s := n.localTarget.state(now)
	return TargetState{
		Service: s.Service, Instance: s.Instance, Accepting: s.Accepting, Slots: s.Slots, Running: s.Running,
		Waiting: s.Waiting, Slowdown: s.Slowdown, ColdLeftS: s.ColdRemaining.Seconds(),
		Departures: n.localTarget.departures(),
	}
}

// state returns the part of a dump that describes the snapshot.
func (s *configSnapshot) state(now time.Time) ConfigState {
	c := ConfigState{
		Number: s.number(), Source: s.source, DocumentBytes: len(s.document),
		DataCentresOut: s.dataCentresOut, OutRevision: s.dataCentresOutRevision, HeldByPeers: s.heldByPeers,
	}
	if s.routes != nil {
		c.Routes, c.Organisations, c.Keys = s.routes.RouteCount(), s.routes.OrganisationCount(), s.routes.KeyCount()
		c.IgnoredFields = s.ignoredFields
		c.AgeS = now.Sub(s.activeSince).Seconds()
	}
	return c
}

// messageState returns the messages to peers after the given seconds.
func (m *nodeMetrics) messageState(uptime float64) MessageState {
	s := MessageState{Heartbeats: m.heartbeatsSent.Count(), Statuses: m.statusesSent.Count(), Bytes: m.datagramBytes.Count()}
	if uptime > 0 {
		s.HeartbeatRate = float64(s.Heartbeats) / uptime
		s.StatusRate = float64(s.Statuses) / uptime
		s.ByteRate = float64(s.Bytes) / uptime
	}
	return s
}

// storeCalls returns the number of calls to the store.
func (m *nodeMetrics) storeCalls() int64 {
	calls := int64(0)
	m.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok && len(name) > len(storeCallsPrefix) && name[:len(storeCallsPrefix)] == storeCallsPrefix {
			calls += counter.Count()
		}
	})
	return calls
}

// storeCallsPrefix is the prefix of the counters of calls by operation.
const storeCallsPrefix = "platform.calls."

// stateHandler returns the handler of the state dump.
func (n *Node) stateHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, err := json.Marshal(n.State(time.Now()))
		if err != nil {
			writeError(w, http.StatusInternalServerError, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // the operator asks again
	})
}

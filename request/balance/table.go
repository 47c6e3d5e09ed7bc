package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/load"
)

// Locality is where this node runs.
type Locality struct {
	DataCentre string
	Region     string
}

// Endpoint is a node with a target of a service beside it, as reported by
// membership.
type Endpoint struct {
	Node       string
	DataCentre string
	Region     string
	State      load.State
	// Slots is how many requests the target may run at once when it is warm.
	Slots int
	// ColdLimit is how many requests the target may run at once when it is cold.
	ColdLimit int
	// Suspect is whether membership suspects that the node is down.
	Suspect bool
}

// ResultKind is how an attempt ended.
type ResultKind uint8

const (
	// Answered means that the target answered without a failure.
	Answered ResultKind = iota
	// Refused means that the target did not run the request, since the node or the
	// target refused it or the node couldn't be reached.
	Refused
	// Failed means that the target or the connection to it failed.
	Failed
	// Cancelled means that the attempt was abandoned because its answer was no
	// longer needed.
	Cancelled
)

// Result is how an attempt ended and how long it took.
type Result struct {
	// Latency is the time between Begin and End.
	Latency time.Duration
	Kind    ResultKind
}

// tableShards is the number of shards of a Table. Each has its own lock.
const tableShards = 32

// Table holds the endpoints of all services and picks among them. It is safe for
// concurrent use.
type Table struct {
	policy Policy
	local  Locality
	shards [tableShards]tableShard
}

type tableShard struct {
	mu     sync.RWMutex
	groups map[string]*endpointGroup
}

// NewTable returns a table without services.
func NewTable(policy Policy, local Locality) *Table {
	t := &Table{policy: policy, local: local}
	for i := range t.shards {
		t.shards[i].groups = make(map[string]*endpointGroup)
	}
	return t
}

// SetEndpoints replaces the endpoints of a service. Endpoints that remain keep
// their samples and statistics. An empty list removes the service.
func (t *Table) SetEndpoints(service string, endpoints []Endpoint) {
	s := t.shard(service)
	s.mu.Lock()
	g := s.groups[service]
	if len(endpoints) == 0 {
		delete(s.groups, service)
		s.mu.Unlock()
		return
	}
	if g == nil {
		g = &endpointGroup{}
		s.groups[service] = g
	}
	s.mu.Unlock()
	g.setEndpoints(endpoints, t.local)
}

// Observe records the load sample of an answer or refusal. It does nothing if the
// endpoint is unknown.
func (t *Table) Observe(service, node string, sample load.Sample, now time.Time) {
	if g := t.group(service); g != nil {
		g.observe(node, sample, now)
	}
}

// Pick returns the node for the next attempt, never one of the excluded nodes.
// It returns false if no other endpoint accepts new work.
func (t *Table) Pick(service string, exclude []string, now time.Time, rng *rand.Rand) (string, bool) {
	g := t.group(service)
	if g == nil {
		return "", false
	}
	return g.pick(t.policy, service, exclude, now, rng)
}

// Begin records that an attempt is sent. Each Begin must be followed by one End.
func (t *Table) Begin(service, node string, now time.Time) {
	if g := t.group(service); g != nil {
		g.begin(node, now)
	}
}

// End records the end of an attempt. If the answer carried a load sample, Observe
// must be called first.
func (t *Table) End(service, node string, now time.Time, result Result) {
	if g := t.group(service); g != nil {
		g.end(node, now, result)
	}
}

// ServiceView holds the endpoints of a service, for the state dump.
type ServiceView struct {
	Service   string         `json:"service"`
	Endpoints []EndpointView `json:"endpoints"`
}

// Snapshot returns the endpoints of all services, sorted by service name.
func (t *Table) Snapshot(now time.Time) []ServiceView {
	var views []ServiceView
	for i := range t.shards {
		views = append(views, t.shards[i].snapshot(now)...)
	}
	slices.SortFunc(views, func(a, b ServiceView) int {
		return compareNames(a.Service, b.Service)
	})
	return views
}

func (t *Table) shard(service string) *tableShard {
	return &t.shards[xxhash.Sum64String(service)%tableShards]
}

func (t *Table) group(service string) *endpointGroup {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.groups[service]
}

func (s *tableShard) snapshot(now time.Time) []ServiceView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var views []ServiceView
	for service, g := range s.groups {
		views = append(views, ServiceView{Service: service, Endpoints: g.snapshot(now)})
	}
	return views
}

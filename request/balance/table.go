package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/load"
)

// Locality is the place of this node.
type Locality struct {
	DataCentre string
	Region     string
}

// Endpoint is a node that guards a target of a service, as membership knows it.
type Endpoint struct {
	Node       string
	DataCentre string
	Region     string
	State      load.State
	// Slots is how many requests the target runs at once when warm.
	Slots int
	// ColdLimit is how many it runs at once when cold.
	ColdLimit int
	// Suspect tells that membership suspects the node to be down.
	Suspect bool
}

// ResultKind tells how an attempt ended.
type ResultKind uint8

const (
	// Answered means that the target answered in good order.
	Answered ResultKind = iota
	// Refused means that the guard refused the attempt.
	Refused
	// Failed means that the target or the way to it failed.
	Failed
	// Cancelled means that nobody waited for the answer any more.
	Cancelled
)

// Result is the end of an attempt.
type Result struct {
	// Latency is the time from Begin to End.
	Latency time.Duration
	Kind    ResultKind
}

// tableShards is how many locks guard the table's services.
const tableShards = 32

// Table holds the endpoints of all services.
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

// SetEndpoints replaces the endpoints of a service. What was learnt about
// endpoints that stay is kept. No endpoints means that the service is gone.
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

// Observe takes in the load sample of an answer or refusal.
func (t *Table) Observe(service, node string, sample load.Sample, now time.Time) {
	if g := t.group(service); g != nil {
		g.observe(node, sample, now)
	}
}

// Pick returns the node for the next attempt, none of the excluded. It
// returns false if no other endpoint takes new work.
func (t *Table) Pick(service string, exclude []string, now time.Time, rng *rand.Rand) (string, bool) {
	g := t.group(service)
	if g == nil {
		return "", false
	}
	return g.pick(t.policy, service, exclude, now, rng)
}

// Begin counts an attempt in. Each Begin is followed by one End.
func (t *Table) Begin(service, node string, now time.Time) {
	if g := t.group(service); g != nil {
		g.begin(node, now)
	}
}

// End counts an attempt out. It comes after Observe of the same answer.
func (t *Table) End(service, node string, now time.Time, result Result) {
	if g := t.group(service); g != nil {
		g.end(node, now, result)
	}
}

// ServiceView is what the table believes of a service.
type ServiceView struct {
	Service   string         `json:"service"`
	Endpoints []EndpointView `json:"endpoints"`
}

// Snapshot returns what the table believes of every service, by name.
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

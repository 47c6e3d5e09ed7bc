package version

import (
	"slices"
	"strings"
	"time"
)

// RouteTable is one version of a configuration whose routes lie directly under
// hosts, apart from templates and organisations. It never changes once built.
type RouteTable struct {
	number   uint64
	byHost   map[string][]RouteRule
	services map[string]ServiceConfig
	limits   CallerLimits
}

// RouteRule is one route of a RouteTable.
type RouteRule struct {
	// Name names the route.
	Name string
	// Host is the host name, in lower case and without a port.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	// Services are the services that share the route's requests. At least one.
	Services []WeightedService
	// Idempotent tells that running a request twice does no harm.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting. Zero means no
	// bound of the route's own.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is of full use. Zero means
	// that none is stated.
	LatencyObjective time.Duration
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Priority orders routes by urgency: 0 is the most urgent.
	Priority int
}

// WeightedService is a service's share of a route.
type WeightedService struct {
	// Name names the service.
	Name string
	// Weight is the service's share relative to the other parts' weights.
	Weight float64
}

// ServiceConfig are what a RouteTable says of a service.
type ServiceConfig struct {
	// Name names the service.
	Name string
	// HealthCheckPath is the path of a target's health check.
	HealthCheckPath string
	// MaxConnections bounds the connections to a target. Zero means no bound.
	MaxConnections int
	// ColdStartDuration is how long a target is cold after its start.
	ColdStartDuration time.Duration
	// ColdStartRequestsPerSecond is how many requests a second a cold target bears.
	ColdStartRequestsPerSecond float64
}

// CallerLimits bound what a caller may send. Zero means that the table states
// no bound.
type CallerLimits struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// ReadHeaderTimeout bounds the time that the headers take.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
}

// NewRouteTable returns the table of a version.
func NewRouteTable(number uint64, rules []RouteRule, services []ServiceConfig, limits CallerLimits) *RouteTable {
	t := &RouteTable{
		number:   number,
		byHost:   make(map[string][]RouteRule),
		services: make(map[string]ServiceConfig, len(services)),
		limits:   limits,
	}
	for _, rule := range rules {
		rule.Host = canonicalHost(rule.Host)
		t.byHost[rule.Host] = append(t.byHost[rule.Host], rule)
	}
	for _, ofHost := range t.byHost {
		slices.SortStableFunc(ofHost, func(a, b RouteRule) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	return t
}

// Version returns the version's number. A higher one is a later version.
func (t *RouteTable) Version() uint64 { return t.number }

// Limits returns the bounds for callers.
func (t *RouteTable) Limits() CallerLimits { return t.limits }

// Service returns what the table says of a service.
func (t *RouteTable) Service(name string) (ServiceConfig, bool) {
	facts, ok := t.services[name]
	return facts, ok
}

// Route returns the rule of the host with the longest prefix of the path, or
// nil. The path is the one that the caller sent, undecoded.
func (t *RouteTable) Route(host, path string) *RouteRule {
	rules := t.byHost[canonicalHost(host)]
	for i := range rules {
		if strings.HasPrefix(path, rules[i].PathPrefix) {
			return &rules[i]
		}
	}
	return nil
}

package version

import (
	"strings"
	"time"
)

// RouteTable is one version of a configuration that lists routes by host,
// without templates and organisations. It is immutable, so any number of
// goroutines may use it.
type RouteTable struct {
	version uint64
	// rules holds the rule of each host and path prefix, the host first.
	rules    map[string]map[string]*RouteRule
	services map[string]ServiceConfig
	limits   CallerLimits
	// keyHolders holds the organisation of each key, and organisations counts them.
	// keyHolders is nil if callers need no keys.
	keyHolders    map[KeyDigest]*OrganisationRule
	organisations int
	// quotas holds the quotas of the organisations that have one.
	quotas map[string]Quota
}

// RouteRule is one route of a RouteTable.
type RouteRule struct {
	// Name is the name of the route.
	Name string
	// Host is the host name that the route belongs to. NewRouteTable converts it
	// to lower case and removes a port.
	Host string
	// PathPrefix is the prefix of the paths that the route matches. It starts and
	// ends with a slash.
	PathPrefix string
	// Services lists the services among which the requests are split by weight.
	// There is at least one.
	Services []WeightedService
	// Idempotent is true if a request can safely run more than once.
	Idempotent bool
	// Timeout bounds the time that a caller waits for an answer. Zero means that
	// the route sets no bound.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer has its full value
	// for the caller. Zero means that the route sets no objective.
	LatencyObjective time.Duration
	// MaxAttempts bounds how often one request may be sent to targets, the first
	// attempt included.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Public is true if requests need no key where the table has organisations.
	Public bool
}

// WeightedService is a service that receives a share of the requests of a route.
type WeightedService struct {
	// Name is the name of the service.
	Name string
	// Weight is the share of the service, relative to the weights of the other
	// services of the route.
	Weight float64
}

// ServiceConfig holds the settings of a service in a RouteTable.
type ServiceConfig struct {
	// Name is the name of the service.
	Name string
	// HealthCheckPath is the path of the health check of a target. If it is
	// empty, targets have no health check.
	HealthCheckPath string
	// MaxConnections bounds the open connections to a target. Zero means no bound.
	MaxConnections int
	// ColdStartDuration is how long a target is cold after its start.
	ColdStartDuration time.Duration
	// ColdStartRequestsPerSecond is the rate of requests that a cold target can
	// handle. Zero means that targets are never assumed to be cold.
	ColdStartRequestsPerSecond float64
}

// CallerLimits bounds what a caller may send. Zero means that the configuration
// sets no bound.
type CallerLimits struct {
	// MaxHeaderBytes bounds the size of the headers of a request, in bytes.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds the size of the body of a request, in bytes.
	MaxBodyBytes int64
	// ReadHeaderTimeout bounds the time in which the headers must arrive.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection is kept open without a request.
	IdleTimeout time.Duration
}

// NewRouteTable returns the table with the given version number. The rules may
// be in any order. Of two rules with the same host and path prefix, the first
// one is used.
func NewRouteTable(version uint64, rules []RouteRule, services []ServiceConfig, limits CallerLimits) *RouteTable {
	t := &RouteTable{
		version:  version,
		rules:    make(map[string]map[string]*RouteRule),
		services: make(map[string]ServiceConfig, len(services)),
		limits:   limits,
	}
	for i := range rules {
		t.add(rules[i])
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	return t
}

// add adds a rule, unless there is one with its host and path prefix.
func (t *RouteTable) add(rule RouteRule) {
	rule.Host = canonicalHost(rule.Host)
	byPrefix := t.rules[rule.Host]
	if byPrefix == nil {
		byPrefix = make(map[string]*RouteRule)
		t.rules[rule.Host] = byPrefix
	}
	if byPrefix[rule.PathPrefix] == nil {
		byPrefix[rule.PathPrefix] = &rule
	}
}

// Version returns the version number. Later versions have higher numbers.
func (t *RouteTable) Version() uint64 { return t.version }

// RouteCount returns the number of routes.
func (t *RouteTable) RouteCount() int {
	count := 0
	for _, byPrefix := range t.rules {
		count += len(byPrefix)
	}
	return count
}

// Limits returns the limits for callers.
func (t *RouteTable) Limits() CallerLimits { return t.limits }

// Service returns the settings of a service, or false if there is no such
// service.
func (t *RouteTable) Service(name string) (ServiceConfig, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Route returns the route of the host with the longest path prefix that matches,
// or nil if no route matches. The host may have a port. The path is the one in
// the request, not percent-decoded. The result must not be modified. The cost
// depends on the number of slashes in the path, not on the number of rules.
func (t *RouteTable) Route(host, path string) *RouteRule {
	byPrefix := t.rules[canonicalHost(host)]
	if byPrefix == nil {
		return nil
	}
	for prefix := path; ; {
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 {
			return nil
		}
		if rule := byPrefix[prefix[:slash+1]]; rule != nil {
			return rule
		}
		prefix = prefix[:slash]
	}
}

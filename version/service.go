package version

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ServiceID identifies a service of an organisation, in the form
// "organisation/service".
type ServiceID string

// NewServiceID returns the ID of a service of an organisation. It doesn't check
// the names.
func NewServiceID(organisation, service string) ServiceID {
	return ServiceID(organisation + "/" + service)
}

// ParseServiceID parses the text of a service ID. It fails if text is not of the
// form "organisation/service" with two valid names.
func ParseServiceID(text string) (ServiceID, error) {
	organisation, service, ok := strings.Cut(text, "/")
	if !ok || !validName(organisation) || !validName(service) {
		return "", errors.Errorf("parse service ID: %q is not organisation/service", text)
	}
	return ServiceID(text), nil
}

// Organisation returns the name of the organisation, before the slash.
func (id ServiceID) Organisation() string {
	organisation, _, _ := strings.Cut(string(id), "/")
	return organisation
}

// Name returns the name of the service, after the slash.
func (id ServiceID) Name() string {
	_, name, _ := strings.Cut(string(id), "/")
	return name
}

// Limits bounds the requests to all services of an organisation, or to one
// service. Zero means no limit.
type Limits struct {
	// MaxInFlight bounds the requests in flight at each ingress node.
	MaxInFlight int
	// RatePerSecond bounds the rate of requests that each ingress node accepts.
	RatePerSecond float64
	// Burst is the size of the token bucket for RatePerSecond, in requests.
	Burst int
	// Weight is the share of a saturated target, relative to other weights. It is
	// at least 1.
	Weight int
}

// TargetLimits bounds the load on each target of a service. Its fields are upper
// bounds on the values that a target announces; zero means that the announced
// value is used.
type TargetLimits struct {
	// Slots bounds the number of requests that a target runs at once.
	Slots int
	// Connections bounds the number of connections to a target.
	Connections int
	// ColdLimit bounds the number of requests that a cold target runs at once.
	ColdLimit int
}

// Route matches requests to a service by method and path, and sets how they are
// handled.
type Route struct {
	// Name is the name of the route, unique within its service.
	Name string
	// Methods lists the HTTP methods, in upper case and sorted.
	Methods []string
	// PathPrefix is the prefix of the paths that the route matches. It is matched
	// by whole path segments.
	PathPrefix string
	// Idempotent is true if a request can safely run more than once.
	Idempotent bool
	// IdempotencyKeyRequired rejects requests without an idempotency key. By
	// default it is true for a route that is not idempotent.
	IdempotencyKeyRequired bool
	// Timeout is the timeout of a request if its caller sets none.
	Timeout time.Duration
	// Hedge allows hedging: a second attempt while a slow first one is running.
	Hedge bool
	// MaxBodyBytes bounds the size of the body of a request, in bytes.
	MaxBodyBytes int64
}

// Allows reports whether the route accepts the method.
func (r *Route) Allows(method string) bool {
	return slices.Contains(r.Methods, method)
}

// Service is a service of an organisation, rendered from its template.
type Service struct {
	// ID identifies the service.
	ID ServiceID
	// PathPrefix is the prefix of the paths that belong to the service, on all
	// hosts of the organisation. It is matched by whole path segments.
	PathPrefix string
	// Routes lists the routes of the service. In a Snapshot they are sorted by
	// the length of the path prefix, longest first.
	Routes []Route
	// Limits bounds the requests to the service at each ingress node.
	Limits Limits
	// TargetLimits bounds the load on each target of the service.
	TargetLimits TargetLimits
	// Partitions is the number of partitions of the key space of the service.
	Partitions int
	// ResendWindow is how long the outcome of an operation is kept for resends.
	ResendWindow time.Duration
}

// Route returns the first route that matches a request. Routes must be sorted as
// in a Snapshot. The error is an *UnknownPathError without a host, or a
// *MethodNotAllowedError.
func (s *Service) Route(method, path string) (*Route, error) {
	var allowed []string
	for i := range s.Routes {
		route := &s.Routes[i]
		if !matchesPrefix(path, route.PathPrefix) {
			continue
		}
		if route.Allows(method) {
			return route, nil
		}
		allowed = append(allowed, route.Methods...)
	}
	if len(allowed) == 0 {
		return nil, &UnknownPathError{Path: path}
	}
	slices.Sort(allowed)
	return nil, &MethodNotAllowedError{Service: s.ID, Method: method, Allowed: slices.Compact(allowed)}
}

// RouteByName returns the route with the given name, or nil.
func (s *Service) RouteByName(name string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Organisation is an organisation, rendered from its template.
type Organisation struct {
	// Name is the name of the organisation.
	Name string
	// Template is the name of the template that it was rendered from.
	Template string
	// Hosts lists the host names of its services, in lower case and without port.
	Hosts []string
	// DataCentres lists the data centres in which it runs.
	DataCentres []string
	// Limits bounds the requests to all its services together, at each ingress
	// node.
	Limits Limits
	// Services lists its services. In a Snapshot they are sorted by the length of
	// the path prefix, longest first.
	Services []Service
}

// matchesPrefix reports whether prefix covers path at a segment boundary:
// "/a" and "/a/" cover "/a", "/a/" and "/a/b", and neither covers "/ab".
func matchesPrefix(path, prefix string) bool {
	trimmed := strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, trimmed)
	return ok && (rest == "" || rest[0] == '/')
}

// knownMethods lists the HTTP methods that a route may have.
var knownMethods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

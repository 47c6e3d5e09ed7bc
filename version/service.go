package version

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ServiceID names a service of an organisation: "organisation/service".
type ServiceID string

// NewServiceID returns the ID of an organisation's service.
func NewServiceID(organisation, service string) ServiceID {
	return ServiceID(organisation + "/" + service)
}

// ParseServiceID checks that text is "organisation/service".
func ParseServiceID(text string) (ServiceID, error) {
	organisation, service, ok := strings.Cut(text, "/")
	if !ok || !validName(organisation) || !validName(service) {
		return "", errors.Errorf("parse service ID: %q is not organisation/service", text)
	}
	return ServiceID(text), nil
}

// Organisation returns the part before the slash.
func (id ServiceID) Organisation() string {
	organisation, _, _ := strings.Cut(string(id), "/")
	return organisation
}

// Name returns the part after the slash.
func (id ServiceID) Name() string {
	_, name, _ := strings.Cut(string(id), "/")
	return name
}

// Limits bound the work of an organisation or a service. Zero means no limit.
type Limits struct {
	// MaxInFlight bounds the requests in flight at one ingress node.
	MaxInFlight int
	// RatePerSecond bounds the requests that one ingress node takes in a second.
	RatePerSecond float64
	// Burst is how many requests may come at once above RatePerSecond.
	Burst int
	// Weight is the share of a full target relative to other weights. At least 1.
	Weight int
}

// TargetLimits bound what one target of a service is given, whatever it
// announces. Zero means that the announced value counts.
type TargetLimits struct {
	// Slots bounds the requests that a target runs at once.
	Slots int
	// Connections bounds the connections to a target.
	Connections int
	// ColdLimit bounds the requests that a target in cold start runs at once.
	ColdLimit int
}

// Route is a group of requests to a service that are treated alike.
type Route struct {
	// Name names the route within its service.
	Name string
	// Methods are the HTTP methods, in upper case and sorted.
	Methods []string
	// PathPrefix is the path or path prefix, matched at segment boundaries.
	PathPrefix string
	// Idempotent tells that running a request twice does no harm.
	Idempotent bool
	// IdempotencyKeyRequired refuses a request without an idempotency key. The default is
	// true for a route that is not idempotent.
	IdempotencyKeyRequired bool
	// Timeout is the time that a request has when its caller sets none.
	Timeout time.Duration
	// Hedge allows a second attempt beside a slow first one.
	Hedge bool
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64
}

// Allows reports whether the route takes the method.
func (r *Route) Allows(method string) bool {
	return slices.Contains(r.Methods, method)
}

// Service is a service of an organisation as stamped out of its template.
type Service struct {
	// ID names the service.
	ID ServiceID
	// PathPrefix is where the service lies under the organisation's hosts.
	PathPrefix string
	// Routes are the service's routes, longest path prefix first.
	Routes []Route
	// Limits bound the service's work at each ingress node.
	Limits Limits
	// TargetLimits bounds what each target of the service is given.
	TargetLimits TargetLimits
	// Partitions is the number of partitions of the service's key space.
	Partitions int
	// ResendWindow is how long the outcome of an operation is kept.
	ResendWindow time.Duration
}

// Route returns the service's route for a request, or a *NoServiceError or
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

// RouteByName returns the route of that name, or nil.
func (s *Service) RouteByName(name string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Organisation is an organisation as stamped out of its template.
type Organisation struct {
	// Name names the organisation.
	Name string
	// Template names the template that it was stamped out of.
	Template string
	// Hosts are the host names of its services, in lower case without port.
	Hosts []string
	// DataCentres are the data centres that it runs in.
	DataCentres []string
	// Limits bound the work of all its services together.
	Limits Limits
	// Services are its services, longest path prefix first.
	Services []Service
}

// matchesPrefix reports whether prefix covers path at a segment boundary:
// "/a" and "/a/" cover "/a", "/a/" and "/a/b", and neither covers "/ab".
func matchesPrefix(path, prefix string) bool {
	trimmed := strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, trimmed)
	return ok && (rest == "" || rest[0] == '/')
}

// knownMethods are the methods that a route may list.
var knownMethods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

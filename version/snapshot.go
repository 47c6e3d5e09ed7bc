package version

import (
	"fmt"
	"maps"
	"net"
	"path"
	"slices"
	"strings"
	"time"
)

// Snapshot is one version of the configuration, rendered for all organisations.
// It is immutable, so any number of goroutines may use it.
type Snapshot struct {
	version             uint64
	acceptedAt          time.Time
	organisations       []*Organisation
	organisationsByHost map[string]*Organisation
	services            map[ServiceID]*Service
	dataCentresOut      map[string]bool
	targetsOut          map[string]bool
}

// NewSnapshot returns a snapshot of rendered organisations. It sorts their
// services and routes in place and keeps the organisations, which must not be
// modified afterwards. dataCentresOut lists the data centres that are out of
// service, and targetsOut the nodes whose targets are out of service.
func NewSnapshot(version uint64, acceptedAt time.Time, organisations []*Organisation, dataCentresOut, targetsOut []string) *Snapshot {
	s := &Snapshot{
		version:             version,
		acceptedAt:          acceptedAt,
		organisations:       slices.Clone(organisations),
		organisationsByHost: make(map[string]*Organisation),
		services:            make(map[ServiceID]*Service),
		dataCentresOut:      setOf(dataCentresOut),
		targetsOut:          setOf(targetsOut),
	}
	slices.SortFunc(s.organisations, func(a, b *Organisation) int { return strings.Compare(a.Name, b.Name) })
	for _, organisation := range s.organisations {
		s.index(organisation)
	}
	return s
}

// index adds an organisation to the lookup tables and sorts its services and
// routes.
func (s *Snapshot) index(organisation *Organisation) {
	for _, host := range organisation.Hosts {
		s.organisationsByHost[host] = organisation
	}
	sortByPrefix(organisation.Services, func(service Service) string { return service.PathPrefix })
	for i := range organisation.Services {
		service := &organisation.Services[i]
		sortByPrefix(service.Routes, func(route Route) string { return route.PathPrefix })
		s.services[service.ID] = service
	}
}

// sortByPrefix sorts items by the length of the prefix, longest first. Items with
// prefixes of the same length keep their order.
func sortByPrefix[T any](items []T, prefix func(T) string) {
	slices.SortStableFunc(items, func(a, b T) int {
		return len(strings.TrimSuffix(prefix(b), "/")) - len(strings.TrimSuffix(prefix(a), "/"))
	})
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// sortedKeys returns the names in a set, sorted. The result is never nil.
func sortedKeys(set map[string]bool) []string {
	names := slices.AppendSeq([]string{}, maps.Keys(set))
	slices.Sort(names)
	return names
}

// Version returns the version number. Later versions have higher numbers.
func (s *Snapshot) Version() uint64 { return s.version }

// AcceptedAt returns the time at which the configuration was accepted, by the
// wall clock of the node that accepted it.
func (s *Snapshot) AcceptedAt() time.Time { return s.acceptedAt }

// Organisations returns all organisations, sorted by name. They must not be
// modified.
func (s *Snapshot) Organisations() []*Organisation { return slices.Clone(s.organisations) }

// Service returns the service with the given ID, or nil.
func (s *Snapshot) Service(id ServiceID) *Service { return s.services[id] }

// Organisation returns the organisation with the given name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation {
	for _, organisation := range s.organisations {
		if organisation.Name == name {
			return organisation
		}
	}
	return nil
}

// DataCentreOutOfService reports whether operators took the data centre out of
// service.
func (s *Snapshot) DataCentreOutOfService(name string) bool { return s.dataCentresOut[name] }

// TargetOutOfService reports whether operators took the target beside a node out
// of service.
func (s *Snapshot) TargetOutOfService(node string) bool { return s.targetsOut[node] }

// DataCentresOut returns the data centres that are out of service, sorted.
func (s *Snapshot) DataCentresOut() []string { return sortedKeys(s.dataCentresOut) }

// TargetsOut returns the nodes whose targets are out of service, sorted.
func (s *Snapshot) TargetsOut() []string { return sortedKeys(s.targetsOut) }

// Route returns the service and the route for a request. The host may have a
// port, and urlPath is percent-decoded. The error is an *UnknownHostError, an
// *UnknownPathError or a *MethodNotAllowedError.
func (s *Snapshot) Route(host, method, urlPath string) (*Service, *Route, error) {
	organisation := s.organisationsByHost[canonicalHost(host)]
	if organisation == nil {
		return nil, nil, &UnknownHostError{Host: host}
	}
	if !isCleanPath(urlPath) {
		return nil, nil, &UnknownPathError{Host: host, Path: urlPath}
	}
	for i := range organisation.Services {
		service := &organisation.Services[i]
		if !matchesPrefix(urlPath, service.PathPrefix) {
			continue
		}
		route, err := service.Route(method, urlPath)
		if err != nil {
			return nil, nil, withHost(err, host)
		}
		return service, route, nil
	}
	return nil, nil, &UnknownPathError{Host: host, Path: urlPath}
}

// withHost sets the host of an *UnknownPathError and returns the error.
func withHost(err error, host string) error {
	if e, ok := err.(*UnknownPathError); ok {
		e.Host = host
	}
	return err
}

// canonicalHost removes the port and the trailing dot of a host, and converts it
// to lower case.
func canonicalHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// isCleanPath reports whether the path is absolute and has no empty, "." or ".."
// segments. A target might resolve such segments to a path of another route.
func isCleanPath(urlPath string) bool {
	if !strings.HasPrefix(urlPath, "/") {
		return false
	}
	cleaned := path.Clean(urlPath)
	return urlPath == cleaned || urlPath == cleaned+"/"
}

// UnknownHostError is the error for a host that belongs to no organisation.
type UnknownHostError struct {
	// Host is the host as the caller sent it.
	Host string
}

// Error implements error.
func (e *UnknownHostError) Error() string {
	return fmt.Sprintf("route: no organisation has the host %q", e.Host)
}

// UnknownPathError is the error for a path that matches no service of the host,
// or no route of the service.
type UnknownPathError struct {
	// Host is the host as the caller sent it. It is empty if the error was
	// returned by Service.Route.
	Host string
	// Path is the percent-decoded path.
	Path string
}

// Error implements error.
func (e *UnknownPathError) Error() string {
	return fmt.Sprintf("route: no service of %q has the path %q", e.Host, e.Path)
}

// MethodNotAllowedError is the error for a request whose path matches routes of
// other methods only.
type MethodNotAllowedError struct {
	// Service is the service to which the path belongs.
	Service ServiceID
	// Method is the method of the request.
	Method string
	// Allowed lists the methods of the matching routes, sorted.
	Allowed []string
}

// Error implements error.
func (e *MethodNotAllowedError) Error() string {
	return fmt.Sprintf("route: %s allows %s, not %s", e.Service, strings.Join(e.Allowed, ", "), e.Method)
}

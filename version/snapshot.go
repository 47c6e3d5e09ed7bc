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

// Snapshot is one accepted configuration, stamped out for every organisation.
// It never changes once built, so any number of goroutines may read it.
type Snapshot struct {
	number        uint64
	acceptedAt    time.Time
	organisations []*Organisation
	byHost        map[string]*Organisation
	services      map[ServiceID]*Service
	dataCentres   map[string]bool
	targets       map[string]bool
}

// NewSnapshot builds a snapshot from parts. It takes over the organisations,
// which must not be changed afterwards. The last two arguments name the data
// centres and the nodes whose targets are out of service.
func NewSnapshot(number uint64, acceptedAt time.Time, organisations []*Organisation, dataCentresOut, targetsOut []string) *Snapshot {
	s := &Snapshot{
		number:        number,
		acceptedAt:    acceptedAt,
		organisations: slices.Clone(organisations),
		byHost:        make(map[string]*Organisation),
		services:      make(map[ServiceID]*Service),
		dataCentres:   setOf(dataCentresOut),
		targets:       setOf(targetsOut),
	}
	slices.SortFunc(s.organisations, func(a, b *Organisation) int { return strings.Compare(a.Name, b.Name) })
	for _, organisation := range s.organisations {
		s.index(organisation)
	}
	return s
}

func (s *Snapshot) index(organisation *Organisation) {
	for _, host := range organisation.Hosts {
		s.byHost[host] = organisation
	}
	sortByPrefix(organisation.Services, func(service Service) string { return service.PathPrefix })
	for i := range organisation.Services {
		service := &organisation.Services[i]
		sortByPrefix(service.Routes, func(route Route) string { return route.PathPrefix })
		s.services[service.ID] = service
	}
}

// sortByPrefix sorts the longest prefix first, else keeps the order.
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

// namesOf returns the names of a set, sorted and never nil.
func namesOf(set map[string]bool) []string {
	names := slices.AppendSeq([]string{}, maps.Keys(set))
	slices.Sort(names)
	return names
}

// Version returns the snapshot's number. A higher number is a later one.
func (s *Snapshot) Version() uint64 { return s.number }

// AcceptedAt returns when the configuration was accepted, by the wall clock
// of the node that accepted it.
func (s *Snapshot) AcceptedAt() time.Time { return s.acceptedAt }

// Organisations returns all organisations by name. They are read-only.
func (s *Snapshot) Organisations() []*Organisation { return slices.Clone(s.organisations) }

// Service returns the service of that ID, or nil.
func (s *Snapshot) Service(id ServiceID) *Service { return s.services[id] }

// Organisation returns the organisation of that name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation {
	for _, organisation := range s.organisations {
		if organisation.Name == name {
			return organisation
		}
	}
	return nil
}

// DataCentreOutOfService reports whether operators took the data centre out of service.
func (s *Snapshot) DataCentreOutOfService(name string) bool { return s.dataCentres[name] }

// TargetOutOfService reports whether operators took the target beside a node out of
// service.
func (s *Snapshot) TargetOutOfService(node string) bool { return s.targets[node] }

// DataCentresOut returns the data centres that are out of service, sorted.
func (s *Snapshot) DataCentresOut() []string { return namesOf(s.dataCentres) }

// TargetsOut returns the nodes whose targets are out of service, sorted.
func (s *Snapshot) TargetsOut() []string { return namesOf(s.targets) }

// Route finds the service and the route for a request. The host may carry a
// port; urlPath is the decoded path. The error is an *UnknownHostError,
// *NoServiceError or *MethodNotAllowedError.
func (s *Snapshot) Route(host, method, urlPath string) (*Service, *Route, error) {
	organisation := s.byHost[canonicalHost(host)]
	if organisation == nil {
		return nil, nil, &UnknownHostError{Host: host}
	}
	if !cleanPath(urlPath) {
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

func withHost(err error, host string) error {
	if e, ok := err.(*UnknownPathError); ok {
		e.Host = host
	}
	return err
}

// canonicalHost drops the port and the trailing dot, and lowers the case.
func canonicalHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// cleanPath reports whether the path is absolute and has no empty, "." or
// ".." segments, which a target might resolve to another route's path.
func cleanPath(urlPath string) bool {
	if !strings.HasPrefix(urlPath, "/") {
		return false
	}
	cleaned := path.Clean(urlPath)
	return urlPath == cleaned || urlPath == cleaned+"/"
}

// UnknownHostError tells that no organisation has the host.
type UnknownHostError struct {
	// Host is the host as the caller gave it.
	Host string
}

// Error implements error.
func (e *UnknownHostError) Error() string {
	return fmt.Sprintf("route: no organisation has the host %q", e.Host)
}

// UnknownPathError tells that the host is known, and no service has the path.
type UnknownPathError struct {
	// Host is the host as the caller gave it. Empty when Service.Route found it.
	Host string
	// Path is the decoded path.
	Path string
}

// Error implements error.
func (e *UnknownPathError) Error() string {
	return fmt.Sprintf("route: no service of %q has the path %q", e.Host, e.Path)
}

// MethodNotAllowedError tells that the path has routes for other methods only.
type MethodNotAllowedError struct {
	// Service is the service that has the path.
	Service ServiceID
	// Method is the method that was refused.
	Method string
	// Allowed are the methods of the path's routes, sorted.
	Allowed []string
}

// Error implements error.
func (e *MethodNotAllowedError) Error() string {
	return fmt.Sprintf("route: %s allows %s, not %s", e.Service, strings.Join(e.Allowed, ", "), e.Method)
}

package version

import (
	"slices"
	"strings"
	"time"
)

// Ranges and defaults of the fields of a body.
const (
	maxInFlight       = 1_000_000
	maxRatePerSecond  = 1e6
	maxWeight         = 1000
	maxSlots          = 100_000
	maxPartitions     = 1024
	defaultPartitions = 16

	minTimeout     = time.Millisecond
	maxTimeout     = 10 * time.Minute
	defaultTimeout = 5 * time.Second

	minResendWindow     = time.Second
	maxResendWindow     = 24 * time.Hour
	defaultResendWindow = 10 * time.Minute

	maxBodyBytes     = 1 << 30
	defaultBodyBytes = 1 << 20
)

// readBody reads the body of a template after substitution.
func readBody(name string, body *value, ps *problems) *Organisation {
	r := newReader(body, ps)
	o := &Organisation{Name: name}
	o.Hosts = readNames(r, "hosts", validHost, "a lower-case host name without port")
	o.DataCentres = readNames(r, "data_centres", validName, "a data centre's name")
	o.Limits = readLimits(r.child("limits"))
	seen := make(map[string]place)
	for _, item := range r.nonEmptyList("services") {
		sr := newReader(item, ps)
		service := readService(name, sr)
		checkPrefixTwice(ps, seen, service.PathPrefix, sr.where("path_prefix"))
		if service.ID.Name() != "" && slices.ContainsFunc(o.Services, func(s Service) bool { return s.ID == service.ID }) {
			ps.at(item.place, "the service %s is described twice", service.ID.Name())
		}
		o.Services = append(o.Services, service)
	}
	r.done()
	return o
}

// readNames reads a list of at least one string that valid accepts.
func readNames(r *reader, name string, valid func(string) bool, want string) []string {
	r.nonEmptyList(name)
	texts := r.strings(name)
	for _, text := range texts {
		if !valid(text) {
			r.problems.at(r.where(name), "%q is not %s", text, want)
		}
	}
	return texts
}

func checkPrefixTwice(ps *problems, seen map[string]place, prefix string, where place) {
	if prefix == "" {
		return
	}
	prefix = strings.TrimSuffix(prefix, "/")
	if first, ok := seen[prefix]; ok {
		ps.at(where, "the path prefix is that of another service at %s", first)
		return
	}
	seen[prefix] = where
}

func readLimits(r *reader) Limits {
	limits := Limits{
		MaxInFlight:   int(r.integer("max_in_flight", 0, 1, maxInFlight)),
		RatePerSecond: r.number("rate_per_second", 0, 0.001, maxRatePerSecond),
		Burst:         int(r.integer("burst", 0, 1, maxInFlight)),
		Weight:        int(r.integer("weight", 1, 1, maxWeight)),
	}
	if r.has("burst") && !r.has("rate_per_second") {
		r.problems.at(r.where("burst"), "burst needs rate_per_second")
	}
	if limits.RatePerSecond > 0 && limits.Burst == 0 {
		limits.Burst = max(1, int(limits.RatePerSecond))
	}
	r.done()
	return limits
}

func readTargetLimits(r *reader) TargetLimits {
	limits := TargetLimits{
		Slots:       int(r.integer("slots", 0, 1, maxSlots)),
		Connections: int(r.integer("connections", 0, 1, maxSlots)),
		ColdLimit:   int(r.integer("cold_limit", 0, 1, maxSlots)),
	}
	if limits.Slots > 0 && limits.ColdLimit > limits.Slots {
		r.problems.at(r.where("cold_limit"), "cold_limit %d is above slots %d", limits.ColdLimit, limits.Slots)
	}
	r.done()
	return limits
}

func readService(organisation string, r *reader) Service {
	s := Service{
		ID:           NewServiceID(organisation, r.name("name")),
		PathPrefix:   readPathPrefix(r),
		Limits:       readLimits(r.child("limits")),
		TargetLimits: readTargetLimits(r.child("target")),
		Partitions:   int(r.integer("partitions", defaultPartitions, 1, maxPartitions)),
		ResendWindow: r.duration("resend_window", defaultResendWindow, minResendWindow, maxResendWindow),
	}
	for _, item := range r.nonEmptyList("routes") {
		route := readRoute(newReader(item, r.problems))
		checkRoute(&s, &route, item, r.problems)
		s.Routes = append(s.Routes, route)
	}
	r.done()
	return s
}

// readPathPrefix reads the required field path_prefix. It returns "" after
// adding a problem.
func readPathPrefix(r *reader) string {
	r.require("path_prefix")
	prefix := r.text("path_prefix")
	if v := r.field("path_prefix"); v == nil || v.kind != kindString {
		return ""
	}
	if !cleanPath(prefix) {
		r.problems.at(r.where("path_prefix"), "%q is not an absolute path without empty, . and .. segments", prefix)
		return ""
	}
	return prefix
}

func readRoute(r *reader) Route {
	r.require("idempotent")
	idempotent := r.boolean("idempotent", false)
	route := Route{
		Name:                   r.name("name"),
		Methods:                readMethods(r),
		PathPrefix:             readPathPrefix(r),
		Idempotent:             idempotent,
		IdempotencyKeyRequired: r.boolean("key_required", !idempotent),
		Timeout:                r.duration("timeout", defaultTimeout, minTimeout, maxTimeout),
		Hedge:                  r.boolean("hedge", false),
		MaxBodyBytes:           r.integer("max_body_bytes", defaultBodyBytes, 0, maxBodyBytes),
	}
	r.done()
	if route.Hedge && !idempotent {
		r.problems.at(r.where("hedge"), "only an idempotent route may be hedged")
	}
	return route
}

func readMethods(r *reader) []string {
	r.nonEmptyList("methods")
	methods := r.strings("methods")
	for _, method := range methods {
		if !contains(knownMethods, method) {
			r.problems.at(r.where("methods"), "%q is not a method; methods are %s", method, strings.Join(knownMethods, ", "))
		}
	}
	slices.Sort(methods)
	return methods
}

// checkRoute checks a route against its service and the routes before it.
func checkRoute(s *Service, route *Route, item *value, ps *problems) {
	if route.PathPrefix != "" && s.PathPrefix != "" && !matchesPrefix(route.PathPrefix, s.PathPrefix) {
		ps.at(item.place, "the route's path prefix %s is not below the service's, %s", route.PathPrefix, s.PathPrefix)
	}
	for i := range s.Routes {
		other := &s.Routes[i]
		if other.Name == route.Name && route.Name != "" {
			ps.at(item.place, "the route %s is described twice", route.Name)
		}
		if method := sharedMethod(other, route); method != "" {
			ps.at(item.place, "%s %s is the route %s already", method, route.PathPrefix, other.Name)
		}
	}
}

// sharedMethod returns a method for which both routes have the same path
// prefix, or "".
func sharedMethod(a, b *Route) string {
	if a.PathPrefix == "" || b.PathPrefix == "" {
		return ""
	}
	if strings.TrimSuffix(a.PathPrefix, "/") != strings.TrimSuffix(b.PathPrefix, "/") {
		return ""
	}
	for _, method := range b.Methods {
		if a.Allows(method) {
			return method
		}
	}
	return ""
}

package version

import (
	"slices"
	"strings"
	"time"
)

// Limits and defaults of the fields of a template's body.
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

// readBody reads the body of a template after the parameters were substituted.
// The argument name is the name of the organisation, or of the template if no
// organisation is being rendered.
func readBody(name string, body *value, ps *problems) *Organisation {
	r := newReader(body, ps)
	o := &Organisation{Name: name}
	o.Hosts = readNames(r, "hosts", validHost, "a lower-case host name without port")
	o.DataCentres = readNames(r, "data_centres", validName, "a valid data centre name")
	o.Limits = readLimits(r.mapField("limits"))
	seen := make(map[string]position)
	for _, item := range r.nonEmptyList("services") {
		sr := newReader(item, ps)
		service := readService(name, sr)
		checkDuplicatePrefix(ps, seen, service.PathPrefix, sr.position("path_prefix"))
		if service.ID.Name() != "" && slices.ContainsFunc(o.Services, func(s Service) bool { return s.ID == service.ID }) {
			ps.addf(item.position, "the service %s is defined twice", service.ID.Name())
		}
		o.Services = append(o.Services, service)
	}
	r.checkUnknownFields()
	return o
}

// readNames reads a required list of at least one string and adds a problem for
// each string that valid rejects. The argument want describes a valid string in
// messages.
func readNames(r *reader, name string, valid func(string) bool, want string) []string {
	r.nonEmptyList(name)
	texts := r.stringList(name)
	for _, text := range texts {
		if !valid(text) {
			r.problems.addf(r.position(name), "%q is not %s", text, want)
		}
	}
	return texts
}

// checkDuplicatePrefix adds a problem if seen already contains the path prefix
// of a service, or else adds it. A slash at the end makes no difference.
func checkDuplicatePrefix(ps *problems, seen map[string]position, prefix string, pos position) {
	if prefix == "" {
		return
	}
	prefix = strings.TrimSuffix(prefix, "/")
	if first, ok := seen[prefix]; ok {
		ps.addf(pos, "another service has the same path prefix, at %s", first)
		return
	}
	seen[prefix] = pos
}

func readLimits(r *reader) Limits {
	limits := Limits{
		MaxInFlight:   int(r.integer("max_in_flight", 0, 1, maxInFlight)),
		RatePerSecond: r.number("rate_per_second", 0, 0.001, maxRatePerSecond),
		Burst:         int(r.integer("burst", 0, 1, maxInFlight)),
		Weight:        int(r.integer("weight", 1, 1, maxWeight)),
	}
	if r.has("burst") && !r.has("rate_per_second") {
		r.problems.addf(r.position("burst"), "burst requires rate_per_second")
	}
	if limits.RatePerSecond > 0 && limits.Burst == 0 {
		limits.Burst = max(1, int(limits.RatePerSecond))
	}
	r.checkUnknownFields()
	return limits
}

func readTargetLimits(r *reader) TargetLimits {
	limits := TargetLimits{
		Slots:       int(r.integer("slots", 0, 1, maxSlots)),
		Connections: int(r.integer("connections", 0, 1, maxSlots)),
		ColdLimit:   int(r.integer("cold_limit", 0, 1, maxSlots)),
	}
	if limits.Slots > 0 && limits.ColdLimit > limits.Slots {
		r.problems.addf(r.position("cold_limit"), "cold_limit %d is above slots %d", limits.ColdLimit, limits.Slots)
	}
	r.checkUnknownFields()
	return limits
}

func readService(organisation string, r *reader) Service {
	s := Service{
		ID:           NewServiceID(organisation, r.name("name")),
		PathPrefix:   readPathPrefix(r),
		Limits:       readLimits(r.mapField("limits")),
		TargetLimits: readTargetLimits(r.mapField("target")),
		Partitions:   int(r.integer("partitions", defaultPartitions, 1, maxPartitions)),
		ResendWindow: r.duration("resend_window", defaultResendWindow, minResendWindow, maxResendWindow),
	}
	for _, item := range r.nonEmptyList("routes") {
		route := readRoute(newReader(item, r.problems))
		checkRoute(&s, &route, item, r.problems)
		s.Routes = append(s.Routes, route)
	}
	r.checkUnknownFields()
	return s
}

// readPathPrefix reads the required field path_prefix. If the field is missing
// or not valid, it adds a problem and returns "".
func readPathPrefix(r *reader) string {
	r.requireField("path_prefix")
	prefix := r.text("path_prefix")
	if v := r.field("path_prefix"); v == nil || v.kind != kindString {
		return ""
	}
	if !isCleanPath(prefix) {
		r.problems.addf(r.position("path_prefix"), "%q is not an absolute path without empty, . and .. segments", prefix)
		return ""
	}
	return prefix
}

func readRoute(r *reader) Route {
	r.requireField("idempotent")
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
	r.checkUnknownFields()
	if route.Hedge && !idempotent {
		r.problems.addf(r.position("hedge"), "only an idempotent route may be hedged")
	}
	return route
}

func readMethods(r *reader) []string {
	r.nonEmptyList("methods")
	methods := r.stringList("methods")
	for _, method := range methods {
		if !contains(knownMethods, method) {
			r.problems.addf(r.position("methods"), "%q is not a supported method; supported methods are %s", method, strings.Join(knownMethods, ", "))
		}
	}
	slices.Sort(methods)
	return methods
}

// checkRoute adds a problem if the route is outside the path prefix of its
// service, or has the same name or the same method and path prefix as one of
// the routes in s.Routes.
func checkRoute(s *Service, route *Route, item *value, ps *problems) {
	if route.PathPrefix != "" && s.PathPrefix != "" && !matchesPrefix(route.PathPrefix, s.PathPrefix) {
		ps.addf(item.position, "the route's path prefix %s is not below the service's path prefix %s", route.PathPrefix, s.PathPrefix)
	}
	for i := range s.Routes {
		other := &s.Routes[i]
		if other.Name == route.Name && route.Name != "" {
			ps.addf(item.position, "the route %s is defined twice", route.Name)
		}
		if method := sharedMethod(other, route); method != "" {
			ps.addf(item.position, "%s %s is already handled by the route %s", method, route.PathPrefix, other.Name)
		}
	}
}

// sharedMethod returns a method that both routes allow, if they have the same
// path prefix. Otherwise it returns "".
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

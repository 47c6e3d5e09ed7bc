package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/ownership"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/version"
)

// ownersRefreshInterval is the interval at which changes of members are passed to
// ownership.
const ownersRefreshInterval = 20 * time.Millisecond

// routing updates the balancing table and ownership when the members or the
// configuration change.
type routing struct {
	members  *membership.Table
	balance  *balance.Table
	owners   *ownership.Runner
	snapshot func() *version.Snapshot

	// ownersDirty is set when refreshOwners is due. Changes come in bursts, which
	// are passed on together.
	ownersDirty atomic.Bool

	mu sync.Mutex
	// services holds every service that has or had members.
	services map[string]bool
}

// memberChanged handles a change of one member.
func (r *routing) memberChanged(c membership.Change) {
	r.refresh(c.Before.Service)
	if c.After.Service != c.Before.Service {
		r.refresh(c.After.Service)
	}
	r.ownersDirty.Store(true)
}

// configChanged handles a new configuration, which may take targets out of
// service.
func (r *routing) configChanged() {
	r.mu.Lock()
	services := make([]string, 0, len(r.services))
	for s := range r.services {
		services = append(services, s)
	}
	r.mu.Unlock()
	for _, s := range services {
		r.refresh(s)
	}
	r.ownersDirty.Store(true)
}

// refresh sets the endpoints of one service in the balancing table.
func (r *routing) refresh(service string) {
	if service == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[string]bool)
	}
	r.services[service] = true
	snapshot := r.snapshot()
	members := r.members.ByService(service)
	endpoints := make([]balance.Endpoint, 0, len(members))
	for _, m := range members {
		endpoints = append(endpoints, endpoint(m, snapshot))
	}
	r.balance.SetEndpoints(service, endpoints)
}

// endpoint returns the endpoint of a member for the balancing table.
func endpoint(m membership.Member, s *version.Snapshot) balance.Endpoint {
	state := m.Target
	if outOfService(m, s) {
		state = load.OutOfService
	}
	return balance.Endpoint{
		Node:       m.Node,
		DataCentre: m.DataCentre,
		Region:     m.Region,
		State:      state,
		Slots:      m.Slots,
		ColdLimit:  m.ColdLimit,
		Suspect:    m.Status == membership.Suspect,
	}
}

// outOfService reports whether operators took the member's target or its data
// centre out of service.
func outOfService(m membership.Member, s *version.Snapshot) bool {
	return s.DataCentreOutOfService(m.DataCentre) || s.TargetOutOfService(m.Node)
}

// run passes changes to ownership, at most once per ownersRefreshInterval, until
// the context ends.
func (r *routing) run(ctx context.Context) {
	wait.Every(ctx, ownersRefreshInterval, func(time.Time) {
		if r.ownersDirty.Swap(false) {
			r.refreshOwners()
		}
	})
}

// refreshOwners passes the members to ownership.
func (r *routing) refreshOwners() {
	snapshot := r.snapshot()
	all := r.members.Members()
	out := make([]ownership.Member, 0, len(all))
	for _, m := range all {
		out = append(out, ownerMember(m, snapshot))
	}
	r.owners.SetMembers(out)
}

// ownerMember converts a member to the type of ownership.
func ownerMember(m membership.Member, s *version.Snapshot) ownership.Member {
	o := ownership.Member{
		Node:        m.Node,
		Incarnation: m.Incarnation,
		DataCentre:  m.DataCentre,
		Alive:       m.Status.Present(),
		Eligible:    m.Target.AcceptsRequests() && !outOfService(m, s),
	}
	if m.Service != "" {
		o.Services = []string{m.Service}
	}
	return o
}

// serviceSpecs returns the services that need ownership, which are those with a
// non-idempotent route.
func serviceSpecs(s *version.Snapshot) []ownership.ServiceSpec {
	var out []ownership.ServiceSpec
	for _, organisation := range s.Organisations() {
		for i := range organisation.Services {
			service := &organisation.Services[i]
			if !hasOwnedRoute(service) {
				continue
			}
			out = append(out, ownership.ServiceSpec{
				ID:           string(service.ID),
				Partitions:   service.Partitions,
				ResendWindow: service.ResendWindow,
			})
		}
	}
	return out
}

// hasOwnedRoute reports whether the service has a non-idempotent route.
func hasOwnedRoute(s *version.Service) bool {
	for i := range s.Routes {
		if !s.Routes[i].Idempotent {
			return true
		}
	}
	return false
}

// shareLimits returns the limits and weights of all organisations and services.
func shareLimits(s *version.Snapshot) (map[request.ShareKey]request.Limits, map[request.ShareKey]float64) {
	bounds := make(map[request.ShareKey]request.Limits)
	weights := make(map[request.ShareKey]float64)
	put := func(organisation, service string, l version.Limits) {
		key := request.ShareKey{Organisation: organisation, Service: service}
		bounds[key] = request.Limits{MaxInFlight: l.MaxInFlight, RatePerSecond: l.RatePerSecond, Burst: l.Burst}
		weights[key] = float64(max(l.Weight, 1))
	}
	for _, o := range s.Organisations() {
		put(o.Name, "", o.Limits)
		for i := range o.Services {
			put(o.Name, o.Services[i].ID.Name(), o.Services[i].Limits)
		}
	}
	return bounds, weights
}

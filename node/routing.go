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

// ownersRefresh is how long changes of members wait to be told to ownership.
const ownersRefresh = 20 * time.Millisecond

// routing keeps the balancing table and ownership in step with membership and
// with the configuration in force.
type routing struct {
	members  *membership.Table
	balance  *balance.Table
	owners   *ownership.Runner
	snapshot func() *version.Snapshot

	// ownersDirty says that refreshOwners is due. Changes come in bursts.
	ownersDirty atomic.Bool

	mu       sync.Mutex
	services map[string]bool
}

// memberChanged takes in a change of one member.
func (r *routing) memberChanged(c membership.Change) {
	r.refresh(c.Before.Service)
	if c.After.Service != c.Before.Service {
		r.refresh(c.After.Service)
	}
	r.ownersDirty.Store(true)
}

// configChanged takes in a new configuration, which may take targets out.
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

// refresh sets the endpoints of one service.
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

// endpoint returns the member as balancing sees it.
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

// outOfService reports whether operators took the member's target out.
func outOfService(m membership.Member, s *version.Snapshot) bool {
	return s.DataCentreOutOfService(m.DataCentre) || s.TargetOutOfService(m.Node)
}

// run tells ownership of changes, a burst at a time, until the context ends.
func (r *routing) run(ctx context.Context) {
	wait.Every(ctx, ownersRefresh, func(time.Time) {
		if r.ownersDirty.Swap(false) {
			r.refreshOwners()
		}
	})
}

// refreshOwners tells ownership which nodes there are.
func (r *routing) refreshOwners() {
	snapshot := r.snapshot()
	all := r.members.Members()
	out := make([]ownership.Member, 0, len(all))
	for _, m := range all {
		out = append(out, ownerMember(m, snapshot))
	}
	r.owners.SetMembers(out)
}

// ownerMember returns the member as ownership sees it.
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

// serviceSpecs returns the services of the configuration as ownership sees them.
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

// limits returns the configured limits by organisation and service.
func limits(s *version.Snapshot) (map[request.ShareKey]request.Limits, map[request.ShareKey]float64) {
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

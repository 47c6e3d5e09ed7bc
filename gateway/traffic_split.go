package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"

	"verbenatrestle/version"
)

// maxSplitRoutes bounds the number of routes whose splits are kept.
const maxSplitRoutes = 1024

// trafficSplitter distributes the requests of each route over its services by
// smooth weighted round robin: the current weights are carried over from one
// request to the next, so that the proportions hold in short periods too. They
// start anew when the services or weights of the route change. It is safe for concurrent use.
type trafficSplitter struct {
	mu sync.Mutex
	// splits holds the split of each route by its name.
	splits map[string]*split
}

// split is the split of one route.
type split struct {
	// services is what the current weights belong to.
	services []version.WeightedService
	// currentWeights holds the current weight of each service. They start at zero or above
	// and keep their sum, so the highest one is positive, and that of a service whose
	// weight is zero stays zero.
	currentWeights map[string]float64
}

// newTrafficSplitter returns a splitter without any routes.
func newTrafficSplitter() *trafficSplitter {
	return &trafficSplitter{splits: make(map[string]*split)}
}

// next returns the service with the highest current weight.
func (s *trafficSplitter) next(rule *version.RouteRule) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.splits[rule.Name]
	if current == nil || !slices.Equal(current.services, rule.Services) {
		if len(s.splits) >= maxSplitRoutes {
			clear(s.splits)
		}
		current = &split{services: rule.Services, currentWeights: randomWeights(rule)}
		s.splits[rule.Name] = current
	}
	weights := current.currentWeights
	total := 0.0
	best := rule.Services[0].Name
	for _, service := range rule.Services {
		total += service.Weight
		weights[service.Name] += service.Weight
		if weights[service.Name] > weights[best] {
			best = service.Name
		}
	}
	weights[best] -= total
	return best
}

// randomWeights returns random initial weights, so that many nodes do not
// begin with the same service.
func randomWeights(rule *version.RouteRule) map[string]float64 {
	weights := make(map[string]float64, len(rule.Services))
	for _, service := range rule.Services {
		weights[service.Name] = rand.Float64() * service.Weight
	}
	return weights
}

package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"

	"verbenatrestle/version"
)

// maxSplitRoutes bounds the number of routes whose splits are kept.
const maxSplitRoutes = 1024

// maxSkippedTurns bounds the random number of turns that a split skips at its start.
const maxSkippedTurns = 100

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

// newSplit returns the split of a route at a random turn, so that the first requests of many
// nodes are distributed by the weights too.
func newSplit(rule *version.RouteRule) *split {
	s := &split{services: rule.Services, currentWeights: randomWeights(rule)}
	for range rand.IntN(maxSkippedTurns) {
		s.next()
	}
	return s
}

// next returns the service with the highest current weight.
func (s *split) next() string {
	weights := s.currentWeights
	total := 0.0
	best := s.services[0].Name
	for _, service := range s.services {
		total += service.Weight
		weights[service.Name] += service.Weight
		if weights[service.Name] > weights[best] {
			best = service.Name
		}
	}
	weights[best] -= total
	return best
}

// newTrafficSplitter returns a splitter without any routes.
func newTrafficSplitter() *trafficSplitter {
	return &trafficSplitter{splits: make(map[string]*split)}
}

// next returns the service for the next request of a route.
func (s *trafficSplitter) next(rule *version.RouteRule) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.splits[rule.Name]
	if current == nil || !slices.Equal(current.services, rule.Services) {
		if len(s.splits) >= maxSplitRoutes {
			clear(s.splits)
		}
		current = newSplit(rule)
		s.splits[rule.Name] = current
	}
	return current.next()
}

// randomWeights returns random initial weights of zero or above.
func randomWeights(rule *version.RouteRule) map[string]float64 {
	weights := make(map[string]float64, len(rule.Services))
	for _, service := range rule.Services {
		weights[service.Name] = rand.Float64() * service.Weight
	}
	return weights
}

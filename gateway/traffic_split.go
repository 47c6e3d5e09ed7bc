package gateway

import (
	"math/rand/v2"
	"sync"

	"verbenatrestle/version"
)

// maxSplitRoutes bounds the number of routes whose weights are kept.
const maxSplitRoutes = 1024

// trafficSplitter distributes the requests of each route over its services by
// smooth weighted round robin: the current weights are carried over from one
// request to the next, so that the proportions hold in short periods too. It
// is safe for concurrent use.
type trafficSplitter struct {
	mu sync.Mutex
	// currentWeights holds the current weight of each service by name of the
	// route.
	currentWeights map[string]map[string]float64
}

// newTrafficSplitter returns a splitter without any routes.
func newTrafficSplitter() *trafficSplitter {
	return &trafficSplitter{currentWeights: make(map[string]map[string]float64)}
}

// next returns the service with the highest current weight.
func (s *trafficSplitter) next(rule *version.RouteRule) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	weights := s.currentWeights[rule.Name]
	if weights == nil {
		if len(s.currentWeights) >= maxSplitRoutes {
			clear(s.currentWeights)
		}
		weights = randomWeights(rule)
		s.currentWeights[rule.Name] = weights
	}
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

package gateway

import (
	"math/rand/v2"
	"sync"

	"verbenatrestle/version"
)

// maxSplitRoutes bounds the routes whose shares are kept.
const maxSplitRoutes = 1024

// trafficSplitter deals the requests of a route out among its services by weight. What
// each service is owed is carried on, so that shares hold in short spans too.
type trafficSplitter struct {
	mu             sync.Mutex
	currentWeights map[string]map[string]float64
}

func newTrafficSplitter() *trafficSplitter {
	return &trafficSplitter{currentWeights: make(map[string]map[string]float64)}
}

// next returns the service that is owed the most.
func (s *trafficSplitter) next(rule *version.Rule) string {
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
	best := rule.Parts[0].Service
	for _, part := range rule.Parts {
		total += part.Weight
		weights[part.Service] += part.Weight
		if weights[part.Service] > weights[best] {
			best = part.Service
		}
	}
	weights[best] -= total
	return best
}

// randomWeights begins at a random point, so that many nodes do not begin with
// the same service.
func randomWeights(rule *version.Rule) map[string]float64 {
	weights := make(map[string]float64, len(rule.Parts))
	for _, part := range rule.Parts {
		weights[part.Service] = rand.Float64() * part.Weight
	}
	return weights
}

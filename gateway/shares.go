package gateway

import (
	"math/rand/v2"
	"sync"

	"verbenatrestle/version"
)

// maxShares bounds the routes whose shares are kept.
const maxShares = 1024

// shares deals the requests of a route out among its services by weight. What
// each service is owed is carried on, so that shares hold in short spans too.
type shares struct {
	mu   sync.Mutex
	owed map[string]map[string]float64
}

func newShares() *shares {
	return &shares{owed: make(map[string]map[string]float64)}
}

// next returns the service that is owed the most.
func (s *shares) next(rule *version.RouteRule) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owed := s.owed[rule.Name]
	if owed == nil {
		if len(s.owed) >= maxShares {
			clear(s.owed)
		}
		owed = startShares(rule)
		s.owed[rule.Name] = owed
	}
	total := 0.0
	best := rule.Services[0].Name
	for _, part := range rule.Services {
		total += part.Weight
		owed[part.Name] += part.Weight
		if owed[part.Name] > owed[best] {
			best = part.Name
		}
	}
	owed[best] -= total
	return best
}

// startShares begins at a random point, so that many nodes do not begin with
// the same service.
func startShares(rule *version.RouteRule) map[string]float64 {
	owed := make(map[string]float64, len(rule.Services))
	for _, part := range rule.Services {
		owed[part.Name] = rand.Float64() * part.Weight
	}
	return owed
}

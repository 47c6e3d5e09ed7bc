package balance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenatrestle/connection/load"
)

// group holds the endpoints of one service.
type group struct {
	mu         sync.Mutex
	endpoints  []*endpointState // by node
	candidates []Candidate      // reused from pick to pick
	choice     PickInfo         // reused from pick to pick
}

func (g *group) setEndpoints(wanted []Endpoint, local Locality) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make([]*endpointState, 0, len(wanted))
	for _, w := range wanted {
		e := g.find(w.Node)
		if e == nil {
			e = &endpointState{}
		}
		e.update(w, local)
		next = append(next, e)
	}
	slices.SortFunc(next, func(a, b *endpointState) int { return compareNames(a.member.Node, b.member.Node) })
	g.endpoints = next
}

func (g *group) observe(node string, sample load.Sample, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(node); e != nil {
		e.observe(sample, now)
	}
}

func (g *group) begin(node string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(node); e != nil {
		e.begin(now)
	}
}

func (g *group) end(node string, now time.Time, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(node); e != nil {
		e.end(now, result)
	}
}

func (g *group) pick(policy Policy, service string, exclude []string, now time.Time, rng *rand.Rand) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gather(exclude, now)
	if len(g.candidates) == 0 {
		return "", false
	}
	c := &g.choice
	c.Service = service
	c.Candidates = g.candidates
	c.PickCount++
	c.Now = now
	c.Rand = rng
	chosen := policy.Choose(c)
	c.Rand = nil
	return g.candidates[chosen].Node, true
}

// gather puts the endpoints that may be picked into g.candidates.
func (g *group) gather(exclude []string, now time.Time) {
	ignoreEjection := g.mostEjected(now)
	usual := g.usualUtilisation(now)
	g.candidates = g.candidates[:0]
	for _, e := range g.endpoints {
		if !e.usable(now) || slices.Contains(exclude, e.member.Node) {
			continue
		}
		if e.ejected(now) && !ignoreEjection {
			continue
		}
		g.candidates = append(g.candidates, e.candidate(now, usual))
	}
}

// maxEjectedShare is the share of a service's usable endpoints above which
// ejection is ignored.
const maxEjectedShare = 0.5

func (g *group) mostEjected(now time.Time) bool {
	usable, ejected := 0, 0
	for _, e := range g.endpoints {
		if !e.usable(now) {
			continue
		}
		usable++
		if e.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) > maxEjectedShare*float64(usable)
}

// usualUtilisation returns the utilisation of the service by its samples, the
// fresher the weightier. It stands for endpoints whose own sample is old.
func (g *group) usualUtilisation(now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for _, e := range g.endpoints {
		if !e.sampled || !e.usable(now) || e.sample.Limit <= 0 {
			continue
		}
		weight := e.sampleWeight(now) + minSampleWeight
		sum += weight * float64(e.sample.InFlight) / float64(e.sample.Limit)
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

func (g *group) find(node string) *endpointState {
	for _, e := range g.endpoints {
		if e.member.Node == node {
			return e
		}
	}
	return nil
}

func (g *group) snapshot(now time.Time) []EndpointView {
	g.mu.Lock()
	defer g.mu.Unlock()
	views := make([]EndpointView, 0, len(g.endpoints))
	usual := g.usualUtilisation(now)
	for _, e := range g.endpoints {
		views = append(views, e.view(now, usual))
	}
	return views
}

func compareNames(a, b string) int {
	return strings.Compare(a, b)
}

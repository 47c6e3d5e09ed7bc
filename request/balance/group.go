package balance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenatrestle/connection/load"
)

// endpointGroup holds the endpoints of one service.
type endpointGroup struct {
	mu         sync.Mutex
	endpoints  []*endpointState // by node
	candidates []Candidate      // reused from pick to pick
	pickInfo   PickInfo         // reused from pick to pick
}

func (g *endpointGroup) setEndpoints(wanted []Endpoint, local Locality) {
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

func (g *endpointGroup) observe(node string, sample load.Sample, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(node); e != nil {
		e.observe(sample, now)
	}
}

func (g *endpointGroup) begin(node string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(node); e != nil {
		e.begin(now)
	}
}

func (g *endpointGroup) end(node string, now time.Time, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(node); e != nil {
		e.end(now, result)
	}
}

func (g *endpointGroup) pick(policy Policy, service string, exclude []string, now time.Time, rng *rand.Rand) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.collectCandidates(exclude, now)
	if len(g.candidates) == 0 {
		return "", false
	}
	c := &g.pickInfo
	c.Service = service
	c.Candidates = g.candidates
	c.PickCount++
	c.Now = now
	c.Rand = rng
	chosen := policy.Choose(c)
	c.Rand = nil
	return g.candidates[chosen].Node, true
}

// collectCandidates puts the endpoints that may be picked into g.candidates.
func (g *endpointGroup) collectCandidates(exclude []string, now time.Time) {
	ignoreEjection := g.panicMode(now)
	usual := g.meanUtilisation(now)
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

// panicThreshold is the share of a service's usable endpoints above which
// ejection is ignored.
const panicThreshold = 0.5

func (g *endpointGroup) panicMode(now time.Time) bool {
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
	return float64(ejected) > panicThreshold*float64(usable)
}

// meanUtilisation returns the utilisation of the service by its samples, the
// fresher the weightier. It stands for endpoints whose own sample is old.
func (g *endpointGroup) meanUtilisation(now time.Time) float64 {
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

func (g *endpointGroup) find(node string) *endpointState {
	for _, e := range g.endpoints {
		if e.member.Node == node {
			return e
		}
	}
	return nil
}

func (g *endpointGroup) snapshot(now time.Time) []EndpointView {
	g.mu.Lock()
	defer g.mu.Unlock()
	views := make([]EndpointView, 0, len(g.endpoints))
	usual := g.meanUtilisation(now)
	for _, e := range g.endpoints {
		views = append(views, e.view(now, usual))
	}
	return views
}

func compareNames(a, b string) int {
	return strings.Compare(a, b)
}

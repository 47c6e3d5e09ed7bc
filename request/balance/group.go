package balance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenatrestle/connection/load"
)

// endpointGroup holds the endpoints of one service. It is safe for concurrent
// use.
type endpointGroup struct {
	mu         sync.Mutex
	endpoints  []*endpointState // sorted by node
	candidates []Candidate      // reused by each pick
	pickInfo   PickInfo         // reused by each pick
}

func (g *endpointGroup) setEndpoints(members []Endpoint, local Locality) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make([]*endpointState, 0, len(members))
	for _, m := range members {
		e := g.find(m.Node)
		if e == nil {
			e = &endpointState{}
		}
		e.update(m, local)
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
	info := &g.pickInfo
	info.Service = service
	info.Candidates = g.candidates
	info.PickCount++
	info.Now = now
	info.Rand = rng
	chosen := policy.Choose(info)
	info.Rand = nil
	return g.candidates[chosen].Node, true
}

// collectCandidates sets g.candidates to the endpoints that may be picked.
func (g *endpointGroup) collectCandidates(exclude []string, now time.Time) {
	ignoreEjection := g.panicMode(now)
	utilisation := g.meanUtilisation(now)
	g.candidates = g.candidates[:0]
	for _, e := range g.endpoints {
		if !e.usable(now) || slices.Contains(exclude, e.member.Node) {
			continue
		}
		if e.ejected(now) && !ignoreEjection {
			continue
		}
		g.candidates = append(g.candidates, e.candidate(now, utilisation))
	}
}

// panicThreshold is the share of ejected endpoints among a service's usable
// endpoints above which ejection is ignored.
const panicThreshold = 0.5

// panicMode reports whether so many endpoints are ejected that ejection is
// ignored.
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

// meanUtilisation returns the mean utilisation of the service's targets by their
// samples, weighted by freshness. It is the estimate for endpoints whose own
// sample is old.
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

// find returns the endpoint of a node, or nil.
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
	utilisation := g.meanUtilisation(now)
	for _, e := range g.endpoints {
		views = append(views, e.view(now, utilisation))
	}
	return views
}

func compareNames(a, b string) int {
	return strings.Compare(a, b)
}

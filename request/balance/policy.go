package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/load"
)

// Policy chooses among the candidates of a pick. It is safe for concurrent
// use and holds no state of its own.
type Policy interface {
	// Name returns the name that New knows.
	Name() string
	// Choose returns the index of a candidate. There is at least one.
	Choose(c *PickInfo) int
}

// PickInfo is one pick that a policy has to make.
type PickInfo struct {
	Service    string
	Candidates []Candidate
	// PickCount counts the picks of the service.
	PickCount uint64
	Now       time.Time
	Rand      *rand.Rand

	indices []int // reused from pick to pick of a service
}

// Distance tells how far an endpoint is from here.
type Distance uint8

const (
	// SameDataCentre means the data centre of this node.
	SameDataCentre Distance = iota
	// SameRegion means another data centre of this node's region.
	SameRegion
	// OtherRegion means another region.
	OtherRegion
	distanceCount
)

// Candidate is an endpoint that takes new work, as this node believes it.
type Candidate struct {
	Node     string
	Distance Distance
	// Cold tells that the target bears only its cold limit.
	Cold bool
	// LastSample is the latest load sample as it was. Zero if there is none.
	LastSample load.Sample
	// Outstanding counts the attempts of this node that run at the endpoint.
	Outstanding int
	// InFlight is the estimate of all that runs at the target now.
	InFlight float64
	// Limit is how much may run at the target at once. At least 1.
	Limit float64
	// Latency is the estimate of the target's service time now.
	Latency time.Duration
	// PeakLatency is what this node's attempts took, rising at once and
	// falling slowly.
	PeakLatency time.Duration
	// FailureRate is the share of recent attempts that failed, from 0 to 1.
	FailureRate float64
}

// utilisation returns the share of the limit that would be in use with one
// more request.
func (c *Candidate) utilisation() float64 {
	return (c.InFlight + 1) / c.Limit
}

// DefaultPolicy is the name of the policy that a node uses unless told otherwise.
const DefaultPolicy = "expectedwait"

// policies holds every policy that needs nothing from outside.
var policies = []Policy{
	random{},
	roundRobin{},
	leastReported{},
	twoChoices{},
	scored{name: "utilisation", score: utilisationScore},
	scored{name: DefaultPolicy, score: expectedWaitScore},
	scored{name: "hotcold", score: hotColdScore},
	scored{name: "peakewma", score: peakEWMAScore},
}

// Names returns the names that New knows.
func Names() []string {
	names := make([]string, 0, len(policies))
	for _, p := range policies {
		names = append(names, p.Name())
	}
	return names
}

// New returns the policy of a name.
func New(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, errors.Errorf("choose balancing policy: %q is none of %v", name, slices.Sorted(slices.Values(Names())))
}

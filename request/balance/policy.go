package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/load"
)

// Policy chooses one of the candidates of a pick. A policy is stateless and safe
// for concurrent use.
type Policy interface {
	// Name returns the name of the policy, as accepted by New.
	Name() string
	// Choose returns the index of the chosen candidate. There is at least one
	// candidate. Choose may modify the candidates.
	Choose(info *PickInfo) int
}

// PickInfo holds the candidates of one pick and what else a policy needs.
type PickInfo struct {
	Service    string
	Candidates []Candidate
	// PickCount is the number of picks for the service, including this one.
	PickCount uint64
	Now       time.Time
	Rand      *rand.Rand

	indices []int // reused by each pick of a service
}

// Distance is how far an endpoint is from this node.
type Distance uint8

const (
	// SameDataCentre means that the endpoint is in the data centre of this node.
	SameDataCentre Distance = iota
	// SameRegion means that the endpoint is in another data centre of the same
	// region.
	SameRegion
	// OtherRegion means that the endpoint is in another region.
	OtherRegion
	distanceCount
)

// Candidate is an endpoint that may be picked, with the current estimates of its
// load.
type Candidate struct {
	Node     string
	Distance Distance
	// Cold is whether the target is cold or ejected, and so bound by its cold limit.
	Cold bool
	// LastSample is the latest load sample as received, however old, or the zero
	// value if there is none.
	LastSample load.Sample
	// Outstanding is the number of attempts of this node that have not ended.
	Outstanding int
	// InFlight is the estimated number of requests that the target is running,
	// including those of other nodes.
	InFlight float64
	// Limit is how many requests the target may run at once, at least 1.
	Limit float64
	// Latency is the estimated service time of the target.
	Latency time.Duration
	// PeakLatency is the latency of this node's attempts as a peak-sensitive
	// moving average, which rises at once and falls slowly.
	PeakLatency time.Duration
	// FailureRate is the share of this node's recent attempts that failed, from 0
	// to 1.
	FailureRate float64
}

// utilisation returns the share of the limit that would be in use with one more
// request. It can be above 1.
func (c *Candidate) utilisation() float64 {
	return (c.InFlight + 1) / c.Limit
}

// DefaultPolicy is the name of the policy that a node uses if its settings name
// none.
const DefaultPolicy = "expectedwait"

// policies holds every policy that can be created by name.
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

// Names returns the names of the policies that New can create.
func Names() []string {
	names := make([]string, 0, len(policies))
	for _, p := range policies {
		names = append(names, p.Name())
	}
	return names
}

// New returns the policy with the name, or an error if there is none.
func New(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, errors.Errorf("unknown balancing policy %q, expected one of %v", name, slices.Sorted(slices.Values(Names())))
}

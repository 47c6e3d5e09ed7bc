package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is the name of a set of faults that is injected during a round.
type Scenario string

// The scenarios.
const (
	Steady     Scenario = "steady"
	Noisy      Scenario = "noisy"
	FailFast   Scenario = "failfast"
	ColdReturn Scenario = "coldreturn"
	Overload   Scenario = "overload"
	Uneven     Scenario = "uneven"
)

// Scenarios lists all scenarios in the order of the tables.
var Scenarios = []Scenario{Steady, Noisy, FailFast, ColdReturn, Overload, Uneven}

const (
	// slowFactor multiplies the duration of work in a slow period of noisy.
	slowFactor = 8
	// unevenFactor multiplies the duration of work on the slow targets of uneven.
	unevenFactor = 3
	// minSlowPeriod and maxSlowPeriod limit the uniformly distributed lengths of
	// slow periods.
	minSlowPeriod = 20 * time.Millisecond
	maxSlowPeriod = 200 * time.Millisecond
	// concurrentSlowTargets is the number of targets that are slow at every moment
	// of noisy.
	concurrentSlowTargets = 2
	// eventTimeShare is the share of the round after which the fault of failfast
	// and coldreturn is injected.
	eventTimeShare = 0.2
)

// Target describes a target of the fleet.
type Target struct {
	// Address is the target's address, "IP:port".
	Address string
	// Service is the name of the target's service.
	Service string
	// DataCentre is the name of the target's data centre.
	DataCentre string
}

// event is a change of the faults of one target.
type event struct {
	// at is the time since the start of the round.
	at time.Duration
	// target is an index into the targets.
	target int
	change control
}

// control is the part of target.Control that the scenarios use.
type control struct {
	Cold       *bool    `json:"cold,omitempty"`
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	SlowForMs  *int     `json:"slow_for_ms,omitempty"`
	FailFast   *bool    `json:"fail_fast,omitempty"`
	ServiceMs  *float64 `json:"service_ms,omitempty"`
	ResetStats bool     `json:"reset_stats,omitempty"`
}

// schedule returns the events of a round, sorted by time. The result depends on
// the arguments only.
func schedule(s Scenario, targets []Target, duration time.Duration, seed uint64) []event {
	rng := rand.New(rand.NewPCG(seed, 1))
	at := time.Duration(eventTimeShare * float64(duration))
	switch s {
	case Noisy:
		return slowPeriods(targets, duration, rng)
	case FailFast:
		return []event{{at: at, target: rng.IntN(len(targets)), change: control{FailFast: new(true)}}}
	case ColdReturn:
		return coldEvents(targets, at, rng)
	case Uneven:
		return slowTargetEvents(targets)
	default:
		return nil
	}
}

// slowTargetEvents makes the first target of each service slow for the rest of
// the round.
func slowTargetEvents(targets []Target) []event {
	seen := make(map[string]bool)
	var events []event
	for i, t := range targets {
		if !seen[t.Service] {
			events = append(events, event{target: i, change: control{SlowFactor: new(float64(unevenFactor))}})
		}
		seen[t.Service] = true
	}
	return events
}

// coldEvents makes the targets of one data centre cold. It draws one of the data
// centres with the fewest targets, so that it does not take one with several
// targets of a service while there is another.
func coldEvents(targets []Target, at time.Duration, rng *rand.Rand) []event {
	centres := smallestDataCentres(targets)
	centre := centres[rng.IntN(len(centres))]
	var events []event
	for i, t := range targets {
		if t.DataCentre == centre {
			events = append(events, event{at: at, target: i, change: control{Cold: new(true)}})
		}
	}
	return events
}

// smallestDataCentres returns the data centres with the fewest targets.
func smallestDataCentres(targets []Target) []string {
	counts := make(map[string]int)
	for _, t := range targets {
		counts[t.DataCentre]++
	}
	fewest := len(targets)
	for _, n := range counts {
		fewest = min(fewest, n)
	}
	var centres []string
	for _, t := range targets {
		if counts[t.DataCentre] == fewest && !slices.Contains(centres, t.DataCentre) {
			centres = append(centres, t.DataCentre)
		}
	}
	return centres
}

// slowPeriods returns the events of the scenario noisy: concurrentSlowTargets
// sequences of slow periods without gaps. Targets that are slow at the same time
// belong to different services.
func slowPeriods(targets []Target, duration time.Duration, rng *rand.Rand) []event {
	var until [concurrentSlowTargets]time.Duration
	var slow [concurrentSlowTargets]int
	for t := range slow {
		slow[t] = -1
	}
	var events []event
	for {
		sequence := earliest(until[:])
		at := until[sequence]
		if at >= duration {
			return events
		}
		length := minSlowPeriod + time.Duration(rng.Int64N(int64(maxSlowPeriod-minSlowPeriod)))
		target := drawFastTarget(targets, slow[:], sequence, rng)
		slow[sequence] = target
		until[sequence] = at + length
		change := control{SlowFactor: new(float64(slowFactor)), SlowForMs: new(int(length.Milliseconds()))}
		events = append(events, event{at: at, target: target, change: change})
	}
}

func earliest(until []time.Duration) int {
	sequence := 0
	for t := range until {
		if until[t] < until[sequence] {
			sequence = t
		}
	}
	return sequence
}

// drawFastTarget draws the next slow target of a sequence. It is not the previous
// one of the sequence, and no other sequence has a slow target of its service.
func drawFastTarget(targets []Target, slow []int, sequence int, rng *rand.Rand) int {
	for {
		target := rng.IntN(len(targets))
		free := target != slow[sequence]
		for t, other := range slow {
			if t != sequence && other >= 0 && targets[other].Service == targets[target].Service {
				free = false
			}
		}
		if free {
			return target
		}
	}
}

package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario names what happens to the targets in a round.
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

// Scenarios lists the scenarios in the order of the tables.
var Scenarios = []Scenario{Steady, Noisy, FailFast, ColdReturn, Overload, Uneven}

const (
	// slowFactor is how many times longer work takes in a spell.
	slowFactor = 8
	// unevenFactor is how many times longer it takes on uneven targets.
	unevenFactor = 3
	// shortestSpell and longestSpell bound the uniform lengths of spells.
	shortestSpell = 20 * time.Millisecond
	longestSpell  = 200 * time.Millisecond
	// tracks is how many targets are slow at every moment.
	tracks = 2
	// eventShare is the share of the round after which the event of failfast
	// and coldreturn comes.
	eventShare = 0.2
)

// Target tells where a target stands.
type Target struct {
	// Address is the target's "IP:port".
	Address string
	Service string
	// DataCentre is the name of its data centre.
	DataCentre string
}

// event is a change of one target's behaviour.
type event struct {
	at     time.Duration
	target int
	change control
}

// control is the JSON form of a target's control message.
type control struct {
	Cold       *bool    `json:"cold,omitempty"`
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	SlowForMs  *int     `json:"slow_for_ms,omitempty"`
	FailFast   *bool    `json:"fail_fast,omitempty"`
	ServiceMs  *float64 `json:"service_ms,omitempty"`
	ResetStats bool     `json:"reset_stats,omitempty"`
}

// schedule returns the events of a round, by time. It depends on its arguments
// alone.
func schedule(s Scenario, places []Target, duration time.Duration, seed uint64) []event {
	rng := rand.New(rand.NewPCG(seed, 1))
	at := time.Duration(eventShare * float64(duration))
	switch s {
	case Noisy:
		return spells(places, duration, rng)
	case FailFast:
		return []event{{at: at, target: rng.IntN(len(places)), change: control{FailFast: new(true)}}}
	case ColdReturn:
		return coldEvents(places, at, rng)
	case Uneven:
		return unevenEvents(places)
	default:
		return nil
	}
}

// unevenEvents makes the first target of each service slow for good.
func unevenEvents(places []Target) []event {
	seen := make(map[string]bool)
	var events []event
	for i, p := range places {
		if !seen[p.Service] {
			events = append(events, event{target: i, change: control{SlowFactor: new(float64(unevenFactor))}})
		}
		seen[p.Service] = true
	}
	return events
}

// coldEvents turns the targets of one data centre cold. A data centre that has
// more than one target of a service is left out while there is another.
func coldEvents(places []Target, at time.Duration, rng *rand.Rand) []event {
	centres := evenCentres(places)
	centre := centres[rng.IntN(len(centres))]
	var events []event
	for i, p := range places {
		if p.DataCentre == centre {
			events = append(events, event{at: at, target: i, change: control{Cold: new(true)}})
		}
	}
	return events
}

// evenCentres returns the data centres with the fewest targets.
func evenCentres(places []Target) []string {
	counts := make(map[string]int)
	for _, p := range places {
		counts[p.DataCentre]++
	}
	fewest := len(places)
	for _, n := range counts {
		fewest = min(fewest, n)
	}
	var centres []string
	for _, p := range places {
		if counts[p.DataCentre] == fewest && !slices.Contains(centres, p.DataCentre) {
			centres = append(centres, p.DataCentre)
		}
	}
	return centres
}

// spells returns slow spells in tracks that each are without a gap. Targets
// that are slow at the same time are of different services.
func spells(places []Target, duration time.Duration, rng *rand.Rand) []event {
	var until [tracks]time.Duration
	var slow [tracks]int
	for t := range slow {
		slow[t] = -1
	}
	var events []event
	for {
		track := earliest(until[:])
		at := until[track]
		if at >= duration {
			return events
		}
		length := shortestSpell + time.Duration(rng.Int64N(int64(longestSpell-shortestSpell)))
		target := quiet(places, slow[:], track, rng)
		slow[track] = target
		until[track] = at + length
		change := control{SlowFactor: new(float64(slowFactor)), SlowForMs: new(int(length.Milliseconds()))}
		events = append(events, event{at: at, target: target, change: change})
	}
}

func earliest(until []time.Duration) int {
	track := 0
	for t := range until {
		if until[t] < until[track] {
			track = t
		}
	}
	return track
}

// quiet draws a target that is not slow, of a service that has no slow target
// but that of the given track, whose spell is over.
func quiet(places []Target, slow []int, track int, rng *rand.Rand) int {
	for {
		target := rng.IntN(len(places))
		free := target != slow[track]
		for t, other := range slow {
			if t != track && other >= 0 && places[other].Service == places[target].Service {
				free = false
			}
		}
		if free {
			return target
		}
	}
}

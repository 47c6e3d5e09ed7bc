package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/load"
)

// Round is what one round of a policy in a scenario found.
type Round struct {
	Scenario Scenario
	Policy   string
	Load     load.Report
	Stats    RoundStats
}

// Summary holds the means over the rounds of one policy in one scenario.
type Summary struct {
	Scenario Scenario
	Policy   string
	Rounds   int
	// P50, P99 and P999 are latencies of answered operations, in milliseconds
	// from the planned start.
	P50, P99, P999 float64
	// Goodput is answered operations per second, without the first second.
	Goodput float64
	// CapacityShare is the goodput as a share of what all slots bear.
	CapacityShare float64
	// RefusedShare and Unanswered are shares of the operations: not run, and without
	// a known end.
	RefusedShare, UnknownShare float64
	// RefusalP99 is the latency of refusals in milliseconds.
	RefusalP99 float64
	// PeakInFlight is the most that ran at one target at once, and PeakCold the same
	// while it was cold.
	PeakInFlight, PeakColdInFlight int
	// Overruns counts how often a cold target got more than it bears, Shed the
	// requests that targets refused.
	Overruns, Shed int
	// MeasuringBytesPerSecond is what measuring took, in bytes a second and node.
	MeasuringBytesPerSecond float64
	// RetryShare and Hedges are shares of the requests.
	RetryShare, HedgeShare float64
	// CPUBusy is the share of the machine's processor time in use.
	CPUBusy float64
}

// ReadRounds reads the rounds in a directory: the files
// SCENARIO.POLICY.ROUND.load.json and SCENARIO.POLICY.ROUND.watch.json.
func ReadRounds(dir string) ([]Round, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.load.json"))
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", dir)
	}
	var rounds []Round
	for _, path := range paths {
		parts := strings.Split(filepath.Base(path), ".")
		if len(parts) != 5 {
			return nil, errors.Errorf("name of %s is not SCENARIO.POLICY.ROUND.load.json", path)
		}
		round := Round{Scenario: Scenario(parts[0]), Policy: parts[1]}
		if err := readJSON(path, &round.Load); err != nil {
			return nil, err
		}
		if err := readJSON(strings.TrimSuffix(path, "load.json")+"watch.json", &round.Stats); err != nil {
			return nil, err
		}
		rounds = append(rounds, round)
	}
	return rounds, nil
}

func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read round")
	}
	return errors.Wrapf(json.Unmarshal(data, into), "parse %s", path)
}

// Summarise joins the rounds of each scenario and policy.
func Summarise(rounds []Round) []Summary {
	var summaries []Summary
	for _, r := range rounds {
		i := index(summaries, r.Scenario, r.Policy)
		if i < 0 {
			i = len(summaries)
			summaries = append(summaries, Summary{Scenario: r.Scenario, Policy: r.Policy})
		}
		summaries[i].add(&r)
	}
	for i := range summaries {
		summaries[i].divide()
	}
	return summaries
}

func index(summaries []Summary, scenario Scenario, policy string) int {
	for i, s := range summaries {
		if s.Scenario == scenario && s.Policy == policy {
			return i
		}
	}
	return -1
}

// add adds a round's figures, peaks apart, which are the highest.
func (s *Summary) add(r *Round) {
	all := &r.Load.All
	sent := float64(max(all.Sent, 1))
	s.Rounds++
	s.P50 += all.Latency.P50
	s.P99 += all.Latency.P99
	s.P999 += all.Latency.P999
	s.Goodput += goodput(&r.Load)
	s.CapacityShare += goodput(&r.Load) / max(r.Stats.Capacity, 1)
	s.RefusedShare += float64(all.NotRun) / sent
	s.UnknownShare += float64(all.Unknown) / sent
	s.RefusalP99 += r.Load.RefusalLatency.P99
	for _, t := range r.Stats.Targets {
		s.PeakInFlight = max(s.PeakInFlight, t.PeakInFlight)
		s.PeakColdInFlight = max(s.PeakColdInFlight, t.PeakColdInFlight)
		s.Overruns += t.Overruns
		s.Shed += t.Shed
	}
	counters := r.Stats.Counters
	nodes := float64(max(len(r.Stats.Targets), 1))
	s.MeasuringBytesPerSecond += counters[counterMeasuringBytes] / nodes / max(r.Stats.Seconds, 1)
	s.RetryShare += counters[counterRetries] / sent
	s.HedgeShare += counters[counterHedges] / sent
	s.CPUBusy += r.Stats.CPUBusy
}

// Names of the nodes' counters.
const (
	counterMeasuringBytes = "vt_measuring_bytes"
	counterRetries        = "vt_dispatch_retries"
	counterHedges         = "vt_dispatch_hedges"
)

// goodput is the mean of the seconds after the first, in which the targets
// fill up, and before the last, which may be cut short.
func goodput(r *load.Report) float64 {
	seconds := r.Seconds
	if len(seconds) < 3 {
		return r.Goodput
	}
	seconds = seconds[1 : len(seconds)-1]
	sum := 0
	for _, second := range seconds {
		sum += second.Answered
	}
	return float64(sum) / float64(len(seconds))
}

func (s *Summary) divide() {
	n := float64(s.Rounds)
	for _, figure := range []*float64{
		&s.P50, &s.P99, &s.P999, &s.Goodput, &s.CapacityShare, &s.RefusedShare, &s.UnknownShare,
		&s.RefusalP99, &s.MeasuringBytesPerSecond, &s.RetryShare, &s.HedgeShare, &s.CPUBusy,
	} {
		*figure /= n
	}
}

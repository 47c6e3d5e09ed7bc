package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/load"
)

// Round holds the results of one round of a policy in a scenario.
type Round struct {
	Scenario Scenario
	Policy   string
	Load     load.Report
	Stats    RoundStats
}

// Summary holds the figures of one policy in one scenario: means over the rounds
// unless a field says otherwise.
type Summary struct {
	Scenario Scenario
	Policy   string
	Rounds   int
	// P50, P99 and P999 are percentiles of the latency of answered operations, in
	// milliseconds from the planned start.
	P50, P99, P999 float64
	// Goodput is the number of answered operations per second, without the first
	// and the last second.
	Goodput float64
	// CapacityShare is the goodput as a share of the capacity of all slots.
	CapacityShare float64
	// RefusedShare and UnknownShare are the shares of the operations with the
	// results not_run and unknown.
	RefusedShare, UnknownShare float64
	// RefusalP99 is the 99th percentile of the latency of refusals, in
	// milliseconds.
	RefusalP99 float64
	// PeakInFlight is the maximum number of requests in flight at one target, and
	// PeakColdInFlight the same for cold targets.
	PeakInFlight, PeakColdInFlight int
	// Overruns is the number of collapses of cold targets from overload, and Shed
	// the number of requests that targets refused, in all rounds.
	Overruns, Shed int
	// MeasuringBytesPerSecond is the mean number of bytes per second that a node
	// spent on measuring load.
	MeasuringBytesPerSecond float64
	// RetryShare and HedgeShare are the numbers of retries and hedges as a share of
	// the operations.
	RetryShare, HedgeShare float64
	// CPUBusy is the share of the machine's processor time that was in use.
	CPUBusy float64
}

// ReadRounds reads the rounds in a directory from the files
// SCENARIO.POLICY.ROUND.load.json and SCENARIO.POLICY.ROUND.watch.json. It
// returns an error if a file is missing or has another name or format.
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

// Summarise returns one summary for each scenario and policy in rounds.
func Summarise(rounds []Round) []Summary {
	var summaries []Summary
	for _, r := range rounds {
		i := indexOf(summaries, r.Scenario, r.Policy)
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

func indexOf(summaries []Summary, scenario Scenario, policy string) int {
	for i, s := range summaries {
		if s.Scenario == scenario && s.Policy == policy {
			return i
		}
	}
	return -1
}

// add adds the figures of a round. Maxima are updated instead.
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

// Names of counters in the metrics of nodes.
const (
	counterMeasuringBytes = "vt_measuring_bytes"
	counterRetries        = "vt_dispatch_retries"
	counterHedges         = "vt_dispatch_hedges"
)

// goodput returns the mean number of answered operations per second. It leaves
// out the first second, in which the targets fill up with requests, and the last
// one, which may be incomplete.
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

// divide turns the sums over the rounds into means.
func (s *Summary) divide() {
	n := float64(s.Rounds)
	for _, figure := range []*float64{
		&s.P50, &s.P99, &s.P999, &s.Goodput, &s.CapacityShare, &s.RefusedShare, &s.UnknownShare,
		&s.RefusalP99, &s.MeasuringBytesPerSecond, &s.RetryShare, &s.HedgeShare, &s.CPUBusy,
	} {
		*figure /= n
	}
}

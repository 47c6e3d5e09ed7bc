package balance

import (
	"math"
	"time"

	"verbenatrestle/connection/load"
)

const (
	// sampleTimeConstant is the time in which a sample loses all but 37% of its weight.
	sampleTimeConstant = 50 * time.Millisecond
	// minSampleWeight is the weight that even the oldest sample keeps in the mean.
	minSampleWeight = 1e-3
	// sampledStateTTL is how long a state that a sample reported overrides membership.
	sampledStateTTL = 2 * time.Second
	// meanLatencyWeight is the weight of one answer in the usual latency.
	meanLatencyWeight = 0.02
	// peakLatencyWeight is the weight of one lower answer in the peak latency.
	peakLatencyWeight = 0.1
	// failureRateWeight is the weight of one attempt in the failure share.
	failureRateWeight = 0.2
	// failureTimeConstant is the time in which the failure share falls to 37%.
	failureTimeConstant = time.Second
	// defaultSlots stands for a target's slots while they aren't known.
	defaultSlots = 1
)

// endpointState is what a node has learnt about an Endpoint.
type endpointState struct {
	member   Endpoint
	distance Distance

	sampled   bool
	sample    load.Sample
	sampledAt time.Time
	// ownAtSample counts the own attempts that the sample's in-flight includes.
	ownAtSample int
	// sampleSuperseded tells that membership changed its mind after the sample.
	sampleSuperseded bool

	outstanding int
	// beginSum is the sum of the begin times of the outstanding attempts, in
	// seconds since base.
	beginSum  float64
	beginBase time.Time

	meanLatency   time.Duration
	peakLatency   time.Duration
	refusedAt     time.Time
	failureRate   float64
	failureRateAt time.Time
	ejection      ejection
}

func (e *endpointState) update(known Endpoint, local Locality) {
	if e.member.State != known.State {
		e.sampleSuperseded = true
	}
	e.member = known
	switch {
	case known.DataCentre == local.DataCentre:
		e.distance = SameDataCentre
	case known.Region == local.Region:
		e.distance = SameRegion
	default:
		e.distance = OtherRegion
	}
}

func (e *endpointState) observe(sample load.Sample, now time.Time) {
	e.sample = sample
	e.sampledAt = now
	e.ownAtSample = e.outstanding
	e.sampled = true
	e.sampleSuperseded = false
}

func (e *endpointState) begin(now time.Time) {
	if e.outstanding == 0 {
		e.beginBase = now
		e.beginSum = 0
	}
	e.outstanding++
	e.beginSum += now.Sub(e.beginBase).Seconds()
}

func (e *endpointState) end(now time.Time, result Result) {
	if e.outstanding > 0 {
		e.outstanding--
		e.beginSum -= now.Add(-result.Latency).Sub(e.beginBase).Seconds()
	}
	if e.sampledAt.Equal(now) {
		e.ownAtSample = e.outstanding
	}
	e.updateLatency(result)
	e.updateFailureRate(now, result)
}

// updateLatency takes a full latency from an answer, and from other ends no
// more than a lower bound: a quick failure doesn't make a target look quick.
func (e *endpointState) updateLatency(result Result) {
	latency := result.Latency
	switch result.Kind {
	case Refused:
		return
	case Failed, Cancelled:
		latency = max(latency, e.peakLatency)
	case Answered:
		e.meanLatency = movingAverage(e.meanLatency, latency, meanLatencyWeight)
	}
	if latency >= e.peakLatency {
		e.peakLatency = latency
		return
	}
	e.peakLatency = movingAverage(e.peakLatency, latency, peakLatencyWeight)
}

func (e *endpointState) updateFailureRate(now time.Time, result Result) {
	switch result.Kind {
	case Refused:
		e.refusedAt = now
		return
	case Cancelled:
		return
	}
	failed := 0.0
	if result.Kind == Failed {
		failed = 1
	}
	e.failureRate = e.decayedFailureRate(now)*(1-failureRateWeight) + failed*failureRateWeight
	e.failureRateAt = now
	e.ejection.record(e.member.Node, now, result.Kind == Failed)
}

// decayedFailureRate returns the failure share, aged.
func (e *endpointState) decayedFailureRate(now time.Time) float64 {
	return e.failureRate * decay(now.Sub(e.failureRateAt), failureTimeConstant)
}

// sampleWeight returns the weight of the sample, from 1 down to 0.
func (e *endpointState) sampleWeight(now time.Time) float64 {
	if !e.sampled {
		return 0
	}
	return decay(now.Sub(e.sampledAt), sampleTimeConstant)
}

// sampledState returns the state of the latest sample while it overrides
// membership.
func (e *endpointState) sampledState(now time.Time) (load.State, bool) {
	fresh := e.sampled && !e.sampleSuperseded && now.Sub(e.sampledAt) < sampledStateTTL
	return e.sample.State, fresh
}

// usable reports whether the endpoint takes work, ejection apart.
func (e *endpointState) usable(now time.Time) bool {
	if e.member.Suspect || !acceptsUnlessEjected(e.member.State) {
		return false
	}
	state, fresh := e.sampledState(now)
	return !fresh || acceptsUnlessEjected(state)
}

func acceptsUnlessEjected(s load.State) bool {
	return s.Takes() || s == load.Ejected
}

func (e *endpointState) ejected(now time.Time) bool {
	if e.ejection.active(now) {
		return true
	}
	if state, fresh := e.sampledState(now); fresh {
		return state == load.Ejected
	}
	return e.member.State == load.Ejected
}

func (e *endpointState) cold(now time.Time) bool {
	if e.ejected(now) {
		return true
	}
	if state, fresh := e.sampledState(now); fresh {
		return state == load.Cold
	}
	return e.member.State == load.Cold
}

func (e *endpointState) limit(now time.Time) float64 {
	if _, fresh := e.sampledState(now); fresh && e.sample.Limit > 0 {
		return float64(e.sample.Limit)
	}
	if e.cold(now) {
		return float64(max(e.member.ColdLimit, 1))
	}
	return float64(max(e.member.Slots, defaultSlots))
}

// candidate returns what is believed of the endpoint now.
func (e *endpointState) candidate(now time.Time, usual float64) Candidate {
	limit := e.limit(now)
	return Candidate{
		Node:        e.member.Node,
		Distance:    e.distance,
		Cold:        e.cold(now),
		LastSample:  e.sample,
		Outstanding: e.outstanding,
		InFlight:    e.estimateInFlight(now, limit, usual),
		Limit:       limit,
		Latency:     e.estimateLatency(now),
		PeakLatency: max(e.peakLatency, e.meanOutstandingAge(now)),
		FailureRate: e.decayedFailureRate(now),
	}
}

// estimateInFlight estimates all that runs at the target: the own attempts, which are
// known, and those of others, by the sample while it is fresh and by the
// service's usual utilisation once it is old. A refusal means full.
func (e *endpointState) estimateInFlight(now time.Time, limit, usual float64) float64 {
	own := float64(e.outstanding)
	others := max(usual*limit-own, 0)
	if e.sampled {
		seen := float64(max(e.sample.InFlight-e.ownAtSample, 0))
		weight := e.sampleWeight(now)
		others = weight*seen + (1-weight)*others
	}
	estimate := own + others
	if e.refusedAt.IsZero() {
		return estimate
	}
	full := limit * decay(now.Sub(e.refusedAt), sampleTimeConstant)
	return max(estimate, full)
}

// estimateLatency estimates the target's service time: by the sample while it is
// fresh, by what is usual there once it is old, and never less than the mean
// age of the own attempts that still run.
func (e *endpointState) estimateLatency(now time.Time) time.Duration {
	estimate := e.meanLatency
	if e.sampled && e.sample.Latency > 0 {
		if estimate == 0 {
			estimate = e.sample.Latency
		}
		estimate = movingAverage(estimate, e.sample.Latency, e.sampleWeight(now))
	}
	return max(estimate, e.meanOutstandingAge(now))
}

// meanOutstandingAge returns how long the outstanding attempts have run on average.
func (e *endpointState) meanOutstandingAge(now time.Time) time.Duration {
	if e.outstanding == 0 {
		return 0
	}
	mean := now.Sub(e.beginBase).Seconds() - e.beginSum/float64(e.outstanding)
	return max(time.Duration(mean*float64(time.Second)), 0)
}

// movingAverage moves old towards next by a share. A zero old takes next whole.
func movingAverage(old, next time.Duration, share float64) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(share*float64(next-old))
}

// decay returns 1 at age zero and falls to 0. A negative age counts as zero.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / memory.Seconds())
}

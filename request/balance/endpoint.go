package balance

import (
	"math"
	"time"

	"verbenatrestle/connection/load"
)

const (
	// sampleTimeConstant is the time in which the weight of a sample falls to 37%.
	sampleTimeConstant = 50 * time.Millisecond
	// minSampleWeight is added to the weight of each sample in the mean
	// utilisation, so that old samples still count if there are no others.
	minSampleWeight = 1e-3
	// sampledStateTTL is how long the state in a sample overrides the state from
	// membership.
	sampledStateTTL = 2 * time.Second
	// meanLatencyWeight is the weight of one answer in the moving average of the
	// latency.
	meanLatencyWeight = 0.02
	// peakLatencyWeight is the weight of one lower latency in the peak latency.
	peakLatencyWeight = 0.1
	// failureRateWeight is the weight of one attempt in the failure rate.
	failureRateWeight = 0.2
	// failureTimeConstant is the time in which the failure rate falls to 37% if
	// no attempt ends.
	failureTimeConstant = time.Second
	// defaultSlots is assumed for a target whose number of slots is unknown.
	defaultSlots = 1
)

// endpointState is the state of one Endpoint: what membership reports, the latest
// load sample, and statistics about the attempts of this node. It is not safe for
// concurrent use.
type endpointState struct {
	member   Endpoint
	distance Distance

	sampled   bool
	sample    load.Sample
	sampledAt time.Time
	// ownAtSample is how many attempts of this node the sample counts as in flight.
	ownAtSample int
	// sampleSuperseded is whether membership reported another state after the
	// sample was received.
	sampleSuperseded bool

	outstanding int
	// beginSum is the sum of the begin times of the outstanding attempts, in
	// seconds since beginBase.
	beginSum  float64
	beginBase time.Time

	meanLatency   time.Duration
	peakLatency   time.Duration
	refusedAt     time.Time
	failureRate   float64
	failureRateAt time.Time
	ejection      ejection
}

// update sets what membership reports about the endpoint.
func (e *endpointState) update(member Endpoint, local Locality) {
	if e.member.State != member.State {
		e.sampleSuperseded = true
	}
	e.member = member
	switch {
	case member.DataCentre == local.DataCentre:
		e.distance = SameDataCentre
	case member.Region == local.Region:
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

// updateLatency updates the mean and the peak latency. The latency of a failed
// or cancelled attempt is only a lower bound: it can raise the peak but doesn't
// lower it, so that quick failures don't make a target look fast.
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

// decayedFailureRate returns the failure rate, which decays over time.
func (e *endpointState) decayedFailureRate(now time.Time) float64 {
	return e.failureRate * decay(now.Sub(e.failureRateAt), failureTimeConstant)
}

// sampleWeight returns the weight of the latest sample: 1 when it is received,
// falling towards 0 as it ages. It returns 0 if there is no sample.
func (e *endpointState) sampleWeight(now time.Time) float64 {
	if !e.sampled {
		return 0
	}
	return decay(now.Sub(e.sampledAt), sampleTimeConstant)
}

// sampledState returns the state in the latest sample, and whether it overrides
// the state from membership.
func (e *endpointState) sampledState(now time.Time) (load.State, bool) {
	fresh := e.sampled && !e.sampleSuperseded && now.Sub(e.sampledAt) < sampledStateTTL
	return e.sample.State, fresh
}

// usable reports whether the endpoint accepts new work, regardless of ejection.
func (e *endpointState) usable(now time.Time) bool {
	if e.member.Suspect || !acceptsUnlessEjected(e.member.State) {
		return false
	}
	state, fresh := e.sampledState(now)
	return !fresh || acceptsUnlessEjected(state)
}

// acceptsUnlessEjected reports whether a target in the state accepts new work,
// regardless of ejection.
func acceptsUnlessEjected(s load.State) bool {
	return s.AcceptsRequests() || s == load.Ejected
}

// ejected reports whether the endpoint is ejected by its guard or by this node.
func (e *endpointState) ejected(now time.Time) bool {
	if e.ejection.active(now) {
		return true
	}
	if state, fresh := e.sampledState(now); fresh {
		return state == load.Ejected
	}
	return e.member.State == load.Ejected
}

// cold reports whether the target is cold. An ejected target counts as cold.
func (e *endpointState) cold(now time.Time) bool {
	if e.ejected(now) {
		return true
	}
	if state, fresh := e.sampledState(now); fresh {
		return state == load.Cold
	}
	return e.member.State == load.Cold
}

// limit returns how many requests the target may run at once, at least 1.
func (e *endpointState) limit(now time.Time) float64 {
	if _, fresh := e.sampledState(now); fresh && e.sample.Limit > 0 {
		return float64(e.sample.Limit)
	}
	if e.cold(now) {
		return float64(max(e.member.ColdLimit, 1))
	}
	return float64(max(e.member.Slots, defaultSlots))
}

// candidate returns the current estimates for the endpoint. The utilisation is
// the mean of the service.
func (e *endpointState) candidate(now time.Time, utilisation float64) Candidate {
	limit := e.limit(now)
	return Candidate{
		Node:        e.member.Node,
		Distance:    e.distance,
		Cold:        e.cold(now),
		LastSample:  e.sample,
		Outstanding: e.outstanding,
		InFlight:    e.estimateInFlight(now, limit, utilisation),
		Limit:       limit,
		Latency:     e.estimateLatency(now),
		PeakLatency: max(e.peakLatency, e.meanOutstandingAge(now)),
		FailureRate: e.decayedFailureRate(now),
	}
}

// estimateInFlight estimates how many requests the target is running. The number
// of attempts of this node is known. The number of other requests is estimated
// from the sample and, as the sample ages, from the mean utilisation of the
// service. A refusal means that the target was full.
func (e *endpointState) estimateInFlight(now time.Time, limit, utilisation float64) float64 {
	own := float64(e.outstanding)
	others := max(utilisation*limit-own, 0)
	if e.sampled {
		sampled := float64(max(e.sample.InFlight-e.ownAtSample, 0))
		weight := e.sampleWeight(now)
		others = weight*sampled + (1-weight)*others
	}
	estimate := own + others
	if e.refusedAt.IsZero() {
		return estimate
	}
	full := limit * decay(now.Sub(e.refusedAt), sampleTimeConstant)
	return max(estimate, full)
}

// estimateLatency estimates the service time of the target from the sample and,
// as the sample ages, from the mean latency. The estimate is at least the mean
// age of the outstanding attempts.
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

// meanOutstandingAge returns the mean age of the outstanding attempts.
func (e *endpointState) meanOutstandingAge(now time.Time) time.Duration {
	if e.outstanding == 0 {
		return 0
	}
	mean := now.Sub(e.beginBase).Seconds() - e.beginSum/float64(e.outstanding)
	return max(time.Duration(mean*float64(time.Second)), 0)
}

// movingAverage returns an exponentially weighted moving average in which next
// has the given weight. It returns next if old is 0, which means no value yet.
func movingAverage(old, next time.Duration, weight float64) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(weight*float64(next-old))
}

// decay returns an exponential decay from 1 at age 0 towards 0. A negative age
// counts as 0.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / timeConstant.Seconds())
}

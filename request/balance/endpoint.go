package balance

import (
	"math"
	"time"

	"verbenatrestle/connection/load"
)

const (
	// ageing is the time in which a sample loses all but 37% of its weight.
	ageing = 50 * time.Millisecond
	// leastFreshness is the weight that even the oldest sample keeps in the mean.
	leastFreshness = 1e-3
	// stateLife is how long a state that a sample reported overrides membership.
	stateLife = 2 * time.Second
	// usualShare is the weight of one answer in the usual latency.
	usualShare = 0.02
	// peakFall is the weight of one lower answer in the peak latency.
	peakFall = 0.1
	// failureWeight is the weight of one attempt in the failure share.
	failureWeight = 0.2
	// failureMemory is the time in which the failure share falls to 37%.
	failureMemory = time.Second
	// defaultSlots stands for a target's slots while they aren't known.
	defaultSlots = 1
)

// endpoint is what a node has learnt about an Endpoint.
type endpoint struct {
	known    Endpoint
	distance Distance

	sampled   bool
	sample    load.Sample
	sampledAt time.Time
	// sampledOwn counts the own attempts that the sample's in-flight includes.
	sampledOwn int
	// overruled tells that membership changed its mind after the sample.
	overruled bool

	outstanding int
	// began is the sum of the begin times of the outstanding attempts, in
	// seconds since base.
	began float64
	base  time.Time

	usualLatency time.Duration
	peakLatency  time.Duration
	refusedAt    time.Time
	failureShare float64
	failureAt    time.Time
	ejection     ejection
}

func (e *endpoint) set(known Endpoint, local Locality) {
	if e.known.State != known.State {
		e.overruled = true
	}
	e.known = known
	switch {
	case known.DataCentre == local.DataCentre:
		e.distance = SameDataCentre
	case known.Region == local.Region:
		e.distance = SameRegion
	default:
		e.distance = OtherRegion
	}
}

func (e *endpoint) observe(sample load.Sample, now time.Time) {
	e.sample = sample
	e.sampledAt = now
	e.sampledOwn = e.outstanding
	e.sampled = true
	e.overruled = false
}

func (e *endpoint) begin(now time.Time) {
	if e.outstanding == 0 {
		e.base = now
		e.began = 0
	}
	e.outstanding++
	e.began += now.Sub(e.base).Seconds()
}

func (e *endpoint) end(now time.Time, result Result) {
	if e.outstanding > 0 {
		e.outstanding--
		e.began -= now.Add(-result.Latency).Sub(e.base).Seconds()
	}
	if e.sampledAt.Equal(now) {
		e.sampledOwn = e.outstanding
	}
	e.learnLatency(result)
	e.learnFailure(now, result)
}

// learnLatency takes a full latency from an answer, and from other ends no
// more than a lower bound: a quick failure doesn't make a target look quick.
func (e *endpoint) learnLatency(result Result) {
	latency := result.Latency
	switch result.Kind {
	case Refused:
		return
	case Failed, Cancelled:
		latency = max(latency, e.peakLatency)
	case Answered:
		e.usualLatency = blend(e.usualLatency, latency, usualShare)
	}
	if latency >= e.peakLatency {
		e.peakLatency = latency
		return
	}
	e.peakLatency = blend(e.peakLatency, latency, peakFall)
}

func (e *endpoint) learnFailure(now time.Time, result Result) {
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
	e.failureShare = e.failures(now)*(1-failureWeight) + failed*failureWeight
	e.failureAt = now
	e.ejection.record(e.known.Node, now, result.Kind == Failed)
}

// failures returns the failure share, aged.
func (e *endpoint) failures(now time.Time) float64 {
	return e.failureShare * decay(now.Sub(e.failureAt), failureMemory)
}

// freshness returns the weight of the sample, from 1 down to 0.
func (e *endpoint) freshness(now time.Time) float64 {
	if !e.sampled {
		return 0
	}
	return decay(now.Sub(e.sampledAt), ageing)
}

// reported returns the state of the latest sample while it overrides
// membership.
func (e *endpoint) reported(now time.Time) (load.State, bool) {
	fresh := e.sampled && !e.overruled && now.Sub(e.sampledAt) < stateLife
	return e.sample.State, fresh
}

// usable reports whether the endpoint takes work, ejection apart.
func (e *endpoint) usable(now time.Time) bool {
	if e.known.Suspect || !takesUnlessEjected(e.known.State) {
		return false
	}
	state, fresh := e.reported(now)
	return !fresh || takesUnlessEjected(state)
}

func takesUnlessEjected(s load.State) bool {
	return s.AcceptsRequests() || s == load.Ejected
}

func (e *endpoint) ejected(now time.Time) bool {
	if e.ejection.active(now) {
		return true
	}
	if state, fresh := e.reported(now); fresh {
		return state == load.Ejected
	}
	return e.known.State == load.Ejected
}

func (e *endpoint) cold(now time.Time) bool {
	if e.ejected(now) {
		return true
	}
	if state, fresh := e.reported(now); fresh {
		return state == load.Cold
	}
	return e.known.State == load.Cold
}

func (e *endpoint) limit(now time.Time) float64 {
	if _, fresh := e.reported(now); fresh && e.sample.Limit > 0 {
		return float64(e.sample.Limit)
	}
	if e.cold(now) {
		return float64(max(e.known.ColdLimit, 1))
	}
	return float64(max(e.known.Slots, defaultSlots))
}

// candidate returns what is believed of the endpoint now.
func (e *endpoint) candidate(now time.Time, usual float64) Candidate {
	limit := e.limit(now)
	return Candidate{
		Node:        e.known.Node,
		Distance:    e.distance,
		Cold:        e.cold(now),
		LastSample:  e.sample,
		Outstanding: e.outstanding,
		InFlight:    e.inFlight(now, limit, usual),
		Limit:       limit,
		Latency:     e.latency(now),
		PeakLatency: max(e.peakLatency, e.meanAge(now)),
		FailureRate: e.failures(now),
	}
}

// inFlight estimates all that runs at the target: the own attempts, which are
// known, and those of others, by the sample while it is fresh and by the
// service's usual utilisation once it is old. A refusal means full.
func (e *endpoint) inFlight(now time.Time, limit, usual float64) float64 {
	own := float64(e.outstanding)
	others := max(usual*limit-own, 0)
	if e.sampled {
		seen := float64(max(e.sample.InFlight-e.sampledOwn, 0))
		weight := e.freshness(now)
		others = weight*seen + (1-weight)*others
	}
	estimate := own + others
	if e.refusedAt.IsZero() {
		return estimate
	}
	full := limit * decay(now.Sub(e.refusedAt), ageing)
	return max(estimate, full)
}

// latency estimates the target's service time: by the sample while it is
// fresh, by what is usual there once it is old, and never less than the mean
// age of the own attempts that still run.
func (e *endpoint) latency(now time.Time) time.Duration {
	estimate := e.usualLatency
	if e.sampled && e.sample.Latency > 0 {
		if estimate == 0 {
			estimate = e.sample.Latency
		}
		estimate = blend(estimate, e.sample.Latency, e.freshness(now))
	}
	return max(estimate, e.meanAge(now))
}

// meanAge returns how long the outstanding attempts have run on average.
func (e *endpoint) meanAge(now time.Time) time.Duration {
	if e.outstanding == 0 {
		return 0
	}
	mean := now.Sub(e.base).Seconds() - e.began/float64(e.outstanding)
	return max(time.Duration(mean*float64(time.Second)), 0)
}

// blend moves old towards next by a share. A zero old takes next whole.
func blend(old, next time.Duration, share float64) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(share*float64(next-old))
}

// decay returns 1 at age zero and falls to 0. A negative age counts as zero.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / memory.Seconds())
}

package node

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
)

const (
	// loadHeaderBytes is the size of the header request.HeaderLoad without its
	// value, in bytes.
	loadHeaderBytes = len(request.HeaderLoad) + len(": \r\n")
	// loadPollBytes is the size of a load poll and its response, including their
	// headers, in bytes.
	loadPollBytes = 400
	// burstSeconds is the burst of a budget, in seconds of its rate. A burst
	// always allows at least one load poll.
	burstSeconds = 0.1
)

// measurementBudget bounds the bytes and polls that the node spends on measuring
// the load of targets. What exceeds the budget is left out: the target
// isn't polled, or a response carries no load. A nil budget is unlimited.
type measurementBudget struct {
	// polls bounds the load polls of the local target, and piggybacked the load
	// data on responses. Each has a part of the node's budget of its own, so that
	// a peak of one leaves enough for the other.
	polls       *request.MeasurementBudget
	piggybacked *request.MeasurementBudget
	bytes       metrics.Counter
	denied      metrics.Counter
}

func newMeasurementBudget(b Budgets, r metrics.Registry, now time.Time) *measurementBudget {
	pollBytes := min(loadPollBytes, b.ProbeBytesPerSecond)
	return &measurementBudget{
		polls:       newRateBudget(b, pollBytes, now),
		piggybacked: newRateBudget(b, b.ProbeBytesPerSecond-pollBytes, now),
		bytes:       metrics.NewRegisteredCounter("measuring.bytes", r),
		denied:      metrics.NewRegisteredCounter("measuring.denied", r),
	}
}

// newRateBudget returns a budget with the given rate, in bytes per second.
func newRateBudget(b Budgets, bytes float64, now time.Time) *request.MeasurementBudget {
	policy := request.DefaultMeasurementPolicy
	policy.MessagesPerSecond = b.ProbeMessagesPerSecond
	policy.BytesPerSecond = bytes
	policy.BurstBytes = max(int(bytes*burstSeconds), loadPollBytes)
	return request.NewMeasurementBudget(policy, now)
}

// piggyback adds the load sample to the headers of a response, if the budget
// allows it.
func (m *measurementBudget) piggyback(h http.Header, sample load.Sample) {
	value := sample.HeaderValue()
	if m == nil || m.record(m.piggybacked.AllowPiggyback(time.Now(), loadHeaderBytes+len(value)), loadHeaderBytes+len(value)) {
		h.Set(request.HeaderLoad, value)
	}
}

// allowPoll reports whether the budget allows a load poll of the target.
func (m *measurementBudget) allowPoll(now time.Time) bool {
	return m == nil || m.record(m.polls.Allow(now, loadPollBytes), loadPollBytes)
}

// record counts the bytes, or the denial, and returns allowed.
func (m *measurementBudget) record(allowed bool, bytes int) bool {
	if !allowed {
		m.denied.Inc(1)
		return false
	}
	m.bytes.Inc(int64(bytes))
	return true
}

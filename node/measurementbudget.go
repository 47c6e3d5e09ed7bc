package node

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
)

const (
	// loadHeaderBytes is what request.HeaderLoad takes beside its value.
	loadHeaderBytes = len(request.HeaderLoad) + len(": \r\n")
	// loadPollBytes is what a question to the target about its load and the
	// answer take, with their headers.
	loadPollBytes = 400
	// burstSeconds is how many seconds of the budget may be spent at once, but
	// for one question.
	burstSeconds = 0.1
)

// measurementBudget spends the node's budget for knowing the load of targets. What the
// budget has no room for is left out: an answer then carries no load. Nil has
// no bound.
type measurementBudget struct {
	// polls bounds the questions to the target, and answers the load on
	// answers. Together they are the node's budget: in its peaks the one leaves
	// room for the other.
	polls       *request.MeasurementBudget
	piggybacked *request.MeasurementBudget
	bytes       metrics.Counter
	denied      metrics.Counter
}

func newMeasurementBudget(b Budgets, r metrics.Registry, now time.Time) *measurementBudget {
	questions := min(loadPollBytes, b.ProbeBytesPerSecond)
	return &measurementBudget{
		polls:       newRateBudget(b, questions, now),
		piggybacked: newRateBudget(b, b.ProbeBytesPerSecond-questions, now),
		bytes:       metrics.NewRegisteredCounter("measuring.bytes", r),
		denied:      metrics.NewRegisteredCounter("measuring.denied", r),
	}
}

// newRateBudget returns a budget of so many bytes a second.
func newRateBudget(b Budgets, bytes float64, now time.Time) *request.MeasurementBudget {
	policy := request.DefaultMeasurementPolicy
	policy.MessagesPerSecond = b.ProbeMessagesPerSecond
	policy.BytesPerSecond = bytes
	policy.BurstBytes = max(int(bytes*burstSeconds), loadPollBytes)
	return request.NewMeasurementBudget(policy, now)
}

// piggyback adds the sample to an answer.
func (m *measurementBudget) piggyback(h http.Header, sample load.Sample) {
	value := sample.Header()
	if m == nil || m.record(m.piggybacked.AllowPiggyback(time.Now(), loadHeaderBytes+len(value)), loadHeaderBytes+len(value)) {
		h.Set(request.HeaderLoad, value)
	}
}

// allowPoll reports whether the target may be asked for its load.
func (m *measurementBudget) allowPoll(now time.Time) bool {
	return m == nil || m.record(m.polls.Allow(now, loadPollBytes), loadPollBytes)
}

func (m *measurementBudget) record(allowed bool, bytes int) bool {
	if !allowed {
		m.denied.Inc(1)
		return false
	}
	m.bytes.Inc(int64(bytes))
	return true
}

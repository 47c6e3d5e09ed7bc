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
	// reportBytes is what a question to the target about its load and the
	// answer take, with their headers.
	reportBytes = 400
	// burstSeconds is how many seconds of the budget may be spent at once, but
	// for one question.
	burstSeconds = 0.1
)

// measuring spends the node's budget for knowing the load of targets. What the
// budget has no room for is left out: an answer then carries no load. Nil has
// no bound.
type measuring struct {
	// questions bounds the questions to the target, and answers the load on
	// answers. Together they are the node's budget: in its peaks the one leaves
	// room for the other.
	questions *request.MeasurementBudget
	answers   *request.MeasurementBudget
	bytes     metrics.Counter
	denied    metrics.Counter
}

func newMeasuring(b Budgets, r metrics.Registry, now time.Time) *measuring {
	questions := min(reportBytes, b.ProbeBytesPerSecond)
	return &measuring{
		questions: newMeasuringBudget(b, questions, now),
		answers:   newMeasuringBudget(b, b.ProbeBytesPerSecond-questions, now),
		bytes:     metrics.NewRegisteredCounter("measuring.bytes", r),
		denied:    metrics.NewRegisteredCounter("measuring.denied", r),
	}
}

// newMeasuringBudget returns a budget of so many bytes a second.
func newMeasuringBudget(b Budgets, bytes float64, now time.Time) *request.MeasurementBudget {
	policy := request.DefaultMeasurementPolicy
	policy.MessagesPerSecond = b.ProbeMessagesPerSecond
	policy.BytesPerSecond = bytes
	policy.BurstBytes = max(int(bytes*burstSeconds), reportBytes)
	return request.NewMeasurementBudget(policy, now)
}

// attach adds the sample to an answer.
func (m *measuring) attach(h http.Header, sample load.Sample) {
	value := sample.HeaderValue()
	if m == nil || m.count(m.answers.AllowPiggyback(time.Now(), loadHeaderBytes+len(value)), loadHeaderBytes+len(value)) {
		h.Set(request.HeaderLoad, value)
	}
}

// mayAsk reports whether the target may be asked for its load.
func (m *measuring) mayAsk(now time.Time) bool {
	return m == nil || m.count(m.questions.Allow(now, reportBytes), reportBytes)
}

func (m *measuring) count(allowed bool, bytes int) bool {
	if !allowed {
		m.denied.Inc(1)
		return false
	}
	m.bytes.Inc(int64(bytes))
	return true
}

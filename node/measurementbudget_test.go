package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
)

// At a peak of requests, the load data on responses must stay within its part of
// the measurement budget and leave the other part to the load polls.
func TestPiggybackedLoadStaysWithinBudget(t *testing.T) {
	const perSecond = 4096
	start := time.Now()
	m := newMeasurementBudget(Budgets{ProbeMessagesPerSecond: 20, ProbeBytesPerSecond: perSecond}, metrics.NewRegistry(), start)
	sent := 0
	for range 100_000 {
		h := make(http.Header)
		m.piggyback(h, load.Sample{InFlight: 19, Limit: 20, Latency: time.Second, State: load.Warm})
		if value := h.Get(request.HeaderLoad); value != "" {
			sent += loadHeaderBytes + len(value)
		}
	}
	bound := perSecond*time.Since(start).Seconds() + perSecond/4
	if sent == 0 || float64(sent) > bound || m.bytes.Count() != int64(sent) {
		t.Fatalf("sent %d bytes, counted %d, bound %.0f", sent, m.bytes.Count(), bound)
	}
	if !m.allowPoll(time.Now()) {
		t.Fatal("the peak leaves no budget for a load poll of the target")
	}
}

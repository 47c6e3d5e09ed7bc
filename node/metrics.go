package node

import (
	"github.com/rcrowley/go-metrics"
)

// requestMetrics holds the metrics of requests at this node.
type requestMetrics struct {
	requests     metrics.Counter
	retries      metrics.Counter
	ownerRetries metrics.Counter
	// retriesDenied counts retries that the retry budget denied.
	retriesDenied metrics.Counter
	// exhausted counts requests for which there was no further target.
	exhausted metrics.Counter
	hedges    metrics.Counter
	// hedgesWon counts hedges whose result came before that of the first attempt.
	hedgesWon metrics.Counter
	notRun    metrics.Counter
	unknown   metrics.Counter
	cancelled metrics.Counter
	latency   metrics.Timer
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	return &requestMetrics{
		requests:      metrics.NewRegisteredCounter("ingress.requests", r),
		retries:       metrics.NewRegisteredCounter("dispatch.retries", r),
		ownerRetries:  metrics.NewRegisteredCounter("owner.retries", r),
		retriesDenied: metrics.NewRegisteredCounter("dispatch.retries_denied", r),
		exhausted:     metrics.NewRegisteredCounter("dispatch.exhausted", r),
		hedges:        metrics.NewRegisteredCounter("dispatch.hedges", r),
		hedgesWon:     metrics.NewRegisteredCounter("dispatch.hedges_won", r),
		notRun:        metrics.NewRegisteredCounter("ingress.not_run", r),
		unknown:       metrics.NewRegisteredCounter("ingress.unknown", r),
		cancelled:     metrics.NewRegisteredCounter("ingress.cancelled", r),
		latency:       metrics.NewRegisteredTimer("ingress.latency", r),
	}
}

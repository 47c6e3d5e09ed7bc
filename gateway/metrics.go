package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/quota"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

const (
	// latencyReservoirSize and latencyDecayAlpha configure the exponentially
	// decaying sample of the latency histogram, in which recent values weigh
	// more.
	latencyReservoirSize = 256
	latencyDecayAlpha    = 0.015
)

// nodeMetrics holds the counters and histograms of a node.
type nodeMetrics struct {
	registry          metrics.Registry
	latency           metrics.Timer
	late              metrics.Counter
	retries           metrics.Counter
	noRoute           metrics.Counter
	unknownKey        metrics.Counter
	keyWithdrawn      metrics.Counter
	rejected          metrics.Counter
	badMessages       metrics.Counter
	datagramBytes     metrics.Counter
	heartbeatsSent    metrics.Counter
	statusesSent      metrics.Counter
	datagramsFailed   metrics.Counter
	targetConnections metrics.Counter
	healthChecks      metrics.Counter
	targetCrashes     metrics.Counter
	quarantined       metrics.Counter
	suspicionsLifted  metrics.Counter
	silentConnections metrics.Counter
	storeWentBack     metrics.Counter
	departuresNotKept metrics.Counter
	crashRecordsSent  metrics.Counter
	// quotaExceeded, quotaUnchecked and quotaTooLate count requests that are not admitted
	// because of a quota, quotaCoordinatorSilent the coordinators that did not answer,
	// quotaMessages the messages about quotas, and quotaPassedOn those of other nodes that
	// were passed on to the coordinator.
	quotaExceeded, quotaUnchecked, quotaTooLate metrics.Counter
	quotaCoordinatorSilent, quotaMessages       metrics.Counter
	quotaPassedOn                               metrics.Counter
	// configOutdated is the time for which the node knew of a newer configuration
	// before it activated one.
	configOutdated metrics.Timer
	// configOverdue counts the requests that were rejected because the node was outdated
	// for too long.
	configOverdue       metrics.Counter
	configFetches       metrics.Counter
	configFetchesFailed metrics.Counter
	configHolderBusy    metrics.Counter
	configsSent         metrics.Counter
	configBytesSent     metrics.Counter
}

// newNodeMetrics registers the metrics in an empty registry.
func newNodeMetrics(registry metrics.Registry) *nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	m := &nodeMetrics{
		registry:          registry,
		latency:           newTimer(),
		late:              counter("requests.late"),
		retries:           counter("requests.retries"),
		noRoute:           counter("requests.no-route"),
		unknownKey:        counter("requests.unknown-key"),
		keyWithdrawn:      counter("requests.key-withdrawn"),
		rejected:          counter("requests.rejected"),
		badMessages:       counter("messages.bad"),
		datagramBytes:     counter("peers.datagram-bytes"),
		heartbeatsSent:    counter("peers.heartbeats-sent"),
		statusesSent:      counter("peers.statuses-sent"),
		datagramsFailed:   counter("peers.datagrams-failed"),
		targetConnections: counter("target.connections-opened"),
		healthChecks:      counter("target.health-checks"),
		targetCrashes:     counter("target.crashes"),
		quarantined:       counter("requests.quarantined"),
		suspicionsLifted:  counter("suspicions.lifted"),
		silentConnections: counter("hops.silent-connections"),
		storeWentBack:     counter("store.went-back"),
		departuresNotKept: counter("departures.not_kept"),
		crashRecordsSent:  counter("peers.crash-records-sent"),

		quotaExceeded:          counter("quota.exceeded"),
		quotaUnchecked:         counter("quota.unchecked"),
		quotaTooLate:           counter("quota.too-late"),
		quotaCoordinatorSilent: counter("quota.coordinator-silent"),
		quotaMessages:          counter("quota.messages-sent"),
		quotaPassedOn:          counter("quota.passed-on"),

		configOutdated:      newTimer(),
		configOverdue:       counter("config.overdue"),
		configFetches:       counter("config.fetches"),
		configFetchesFailed: counter("config.fetches-failed"),
		configHolderBusy:    counter("config.holder-busy"),
		configsSent:         counter("config.sent"),
		configBytesSent:     counter("config.bytes-sent"),
	}
	_ = registry.Register("requests.latency", m.latency)       // the name can't be taken in an empty registry
	_ = registry.Register("config.outdated", m.configOutdated) // as above
	return m
}

// newTimer returns a timer in whose histogram recent values weigh more.
func newTimer() metrics.Timer {
	histogram := metrics.NewHistogram(metrics.NewExpDecaySample(latencyReservoirSize, latencyDecayAlpha))
	return metrics.NewCustomTimer(histogram, metrics.NewMeter())
}

// requestEnded records the latency and the outcome of a caller's request.
func (m *nodeMetrics) requestEnded(d *dispatch, r *attemptResult, took time.Duration, late bool) {
	m.latency.Update(took)
	if late {
		m.late.Inc(1)
	}
	name := "requests.answered"
	if r.response == nil {
		name = "requests." + string(r.outcome)
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// datagramSent counts a message to a peer and its size in bytes.
func (m *nodeMetrics) datagramSent(message any, size int) {
	m.datagramBytes.Inc(int64(size))
	switch message.(type) {
	case *fleet.Heartbeat:
		m.heartbeatsSent.Inc(1)
	case *quarantine.Message:
		m.crashRecordsSent.Inc(1)
	case *quota.Ask, *quota.Grant:
		m.quotaMessages.Inc(1)
	default:
		m.statusesSent.Inc(1)
	}
}

// configSent counts a configuration that was sent to a peer, and its size in bytes.
func (m *nodeMetrics) configSent(size int) {
	m.configsSent.Inc(1)
	m.configBytesSent.Inc(int64(size))
}

// collected counts a request whose result was asked for over another connection.
func (m *nodeMetrics) collected(outcome request.Outcome) {
	metrics.GetOrRegisterCounter("hops.collected-"+string(outcome), m.registry).Inc(1)
}

// gateRefused counts a request that the gate refused, by reason.
func (m *nodeMetrics) gateRefused(reason gate.Refusal) {
	metrics.GetOrRegisterCounter("gate.refused."+string(reason), m.registry).Inc(1)
}

// gateAdmitted counts a request that the gate admitted, by what it is in the retry budget.
func (m *nodeMetrics) gateAdmitted(req *gate.Request) {
	kind := "first"
	switch {
	case req.Retry:
		kind = "retry"
	case req.CausedByRetry:
		kind = "caused-by-retry"
	}
	metrics.GetOrRegisterCounter("gate.admitted."+kind, m.registry).Inc(1)
}

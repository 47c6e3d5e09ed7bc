package gateway

import (
	"context"
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/platform"
)

const (
	// healthCheckInterval is the interval of health checks while no other
	// response of the target carries its load. The slowdown of a target can
	// change several times per second.
	healthCheckInterval = 50 * time.Millisecond
	// maxHealthCheckInterval is the interval of health checks while other responses carry
	// the load. Only health checks and reports tell that a target has turned cold, and a
	// busy one must not get more than its cold rate in the meantime.
	maxHealthCheckInterval = 100 * time.Millisecond
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 400 * time.Millisecond
	// healthCheckIdleTimeout is how long the connection for health checks is
	// kept idle.
	healthCheckIdleTimeout = 5 * time.Second
	// maxHealthBytes bounds the body of a response to a health check.
	maxHealthBytes = 64 << 10
)

// healthChecker checks the health of the local target: its slowdown, whether
// it is cold, and whether it accepts connections.
type healthChecker struct {
	node *Node
	// immediate requests a check before the next interval.
	immediate chan struct{}
	pool      *exchange.Pool
	// checkedAt is when the latest check began. Only run uses it.
	checkedAt time.Time
}

// newHealthChecker returns a checker. Its run method performs the checks.
func newHealthChecker(n *Node) *healthChecker {
	return &healthChecker{node: n, immediate: make(chan struct{}, 1)}
}

// checkNow requests an immediate check. It never blocks.
func (h *healthChecker) checkNow() {
	select {
	case h.immediate <- struct{}{}:
	default:
	}
}

// run performs health checks until the context ends.
func (h *healthChecker) run(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-h.immediate:
			forced = true
		case <-ticker.C:
		}
		if forced || h.due() {
			h.check(ctx)
		}
	}
}

// due reports whether the last load sample, or the last health check, is old enough for a
// health check.
func (h *healthChecker) due() bool {
	if time.Since(h.checkedAt) >= maxHealthCheckInterval*4/5 {
		return true
	}
	t := h.node.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.loadSampledAt) >= healthCheckInterval*4/5
}

// check performs one health check. It does nothing if the target or its health
// path is unknown.
func (h *healthChecker) check(ctx context.Context) {
	h.checkedAt = time.Now()
	t := h.node.localTarget
	state := t.state(h.checkedAt)
	service, ok := h.node.config.service(state.Service)
	if !ok || service.HealthCheckPath == "" || state.Address == "" {
		return
	}
	if h.pool == nil || h.pool.Address() != state.Address {
		h.pool = exchange.NewPool(state.Address, exchange.Options{
			DialTimeout: targetDialTimeout,
			IdleTimeout: healthCheckIdleTimeout, MaxBodyBytes: maxHealthBytes,
			OnOpen: func() { h.node.metrics.targetConnections.Inc(1) },
		})
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	h.node.metrics.healthChecks.Inc(1)
	message := exchange.Request{Method: http.MethodGet, RequestURI: service.HealthCheckPath, Host: state.Address, Header: http.Header{}}
	response, err := h.pool.Do(ctx, &message, 0)
	if err != nil {
		if failure := exchange.AsError(err); failure != nil && failure.Kind == exchange.KindDial {
			t.markDown(state.Instance, err)
		}
		return
	}
	h.applyResponse(response, h.checkedAt)
}

// applyResponse applies the response to a health check that was sent at sentAt, and broadcasts a
// status if the state of the target changed.
func (h *healthChecker) applyResponse(response *exchange.Response, sentAt time.Time) {
	t := h.node.localTarget
	t.recordLoadSample(response.Header.Get(platform.HeaderLoad))
	instance := response.Header.Get(platform.HeaderInstance)
	if platform.IsLeaving(response.Header.Get(platform.HeaderLeaving)) {
		t.markLeaving(instance)
	}
	cold, err := platform.ParseMillis(response.Header.Get(platform.HeaderColdRemaining))
	if err != nil {
		h.node.events.badMessage("health", h.node.settings().Target, err)
		return
	}
	t.mu.Lock()
	changed := t.gate.ApplyHealthCheck(instance, cold, sentAt, time.Now())
	state := t.gate.State(time.Now())
	t.mu.Unlock()
	if changed {
		h.node.events.targetChecked(state)
		h.node.peers.requestBroadcast()
	}
}

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
	// answer of the target carries its load. The slowdown of a target can
	// change several times per second.
	healthCheckInterval = 50 * time.Millisecond
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 400 * time.Millisecond
	// healthCheckIdleTimeout is how long the connection for health checks is
	// kept idle.
	healthCheckIdleTimeout = 5 * time.Second
)

// healthChecker checks the health of the local target: its slowdown, whether
// it is cold, and whether it accepts connections.
type healthChecker struct {
	node *Node
	// immediate requests a check before the next interval.
	immediate chan struct{}
	pool      *exchange.Pool
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

// due reports whether the last load sample is old enough for a health check.
func (h *healthChecker) due() bool {
	t := h.node.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.loadSampledAt) >= healthCheckInterval*4/5
}

// check performs one health check. It does nothing if the target or its health
// path is unknown.
func (h *healthChecker) check(ctx context.Context) {
	t := h.node.localTarget
	state := t.state(time.Now())
	facts, ok := h.node.config.service(state.Service)
	if !ok || facts.HealthCheckPath == "" || state.Address == "" {
		return
	}
	if h.pool == nil || h.pool.Address() != state.Address {
		h.pool = exchange.NewPool(state.Address, exchange.Options{
			DialTimeout: targetDialTimeout,
			IdleTimeout: healthCheckIdleTimeout,
			OnOpen:      func() { h.node.metrics.targetConnections.Inc(1) },
		})
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	h.node.metrics.healthChecks.Inc(1)
	message := exchange.Request{Method: http.MethodGet, RequestURI: facts.HealthCheckPath, Host: state.Address, Header: http.Header{}}
	answer, err := h.pool.Do(ctx, &message, 0)
	if err != nil {
		if failure := exchange.AsError(err); failure != nil && failure.Kind == exchange.KindDial {
			t.markDown(state.Instance, err)
		}
		return
	}
	h.applyAnswer(answer)
}

// applyAnswer applies the answer to a health check and announces a change to
// the peers.
func (h *healthChecker) applyAnswer(answer *exchange.Response) {
	t := h.node.localTarget
	t.recordLoadSample(answer.Header.Get(platform.HeaderLoad))
	instance := answer.Header.Get(platform.HeaderInstance)
	cold, err := platform.ParseMillis(answer.Header.Get(platform.HeaderColdRemaining))
	if err != nil {
		h.node.events.badMessage("health", h.node.settings().Target, err)
		return
	}
	t.mu.Lock()
	changed := t.gate.ApplyHealthCheck(instance, cold, time.Now())
	state := t.gate.State(time.Now())
	t.mu.Unlock()
	if changed {
		h.node.events.targetChecked(state)
		h.node.peers.requestBroadcast()
	}
}

package gateway

import (
	"context"
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/platform"
)

const (
	// healthCheckInterval is the time between two questions to the target while nothing
	// else tells its load. Its speed changes several times a second.
	healthCheckInterval = 50 * time.Millisecond
	// healthCheckTimeout bounds one question.
	healthCheckTimeout = 400 * time.Millisecond
	// healthCheckIdleTimeout is how long the connection for questions is kept idle.
	healthCheckIdleTimeout = 5 * time.Second
)

// healthChecker asks the target beside the node how it is: how fast it works,
// whether it is cold, and whether it takes connections at all.
type healthChecker struct {
	node      *Node
	immediate chan struct{}
	pool      *exchange.Pool
}

func newHealthChecker(n *Node) *healthChecker {
	return &healthChecker{node: n, immediate: make(chan struct{}, 1)}
}

// checkNow asks for a question at once.
func (h *healthChecker) checkNow() {
	select {
	case h.immediate <- struct{}{}:
	default:
	}
}

// run asks until the context ends.
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

// due reports whether the target's load was not told for a while.
func (h *healthChecker) due() bool {
	t := h.node.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.loadSampledAt) >= healthCheckInterval*4/5
}

// check asks once.
func (h *healthChecker) check(ctx context.Context) {
	t := h.node.localTarget
	state := t.state(time.Now())
	facts, ok := h.node.config.service(state.Service)
	if !ok || facts.HealthPath == "" || state.Address == "" {
		return
	}
	if h.pool == nil || h.pool.Address() != state.Address {
		h.pool = exchange.NewPool(state.Address, exchange.Options{
			DialTimeout: targetDialTimeout,
			IdleTimeout: healthCheckIdleTimeout,
			Opened:      func() { h.node.metrics.targetConnections.Inc(1) },
		})
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	h.node.metrics.healthChecks.Inc(1)
	message := exchange.Request{Method: http.MethodGet, Target: facts.HealthPath, Host: state.Address, Header: http.Header{}}
	answer, err := h.pool.Do(ctx, &message, 0)
	if err != nil {
		if failure := exchange.AsError(err); failure != nil && failure.Kind == exchange.KindDial {
			t.markDown(state.Instance, err)
		}
		return
	}
	h.applyAnswer(answer)
}

// applyAnswer takes in the answer to a question.
func (h *healthChecker) applyAnswer(answer *exchange.Answer) {
	t := h.node.localTarget
	t.recordLoadSample(answer.Header.Get(platform.HeaderLoad))
	instance := answer.Header.Get(platform.HeaderInstance)
	cold, err := platform.ParseMillis(answer.Header.Get(platform.HeaderColdLeft))
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

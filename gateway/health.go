package gateway

import (
	"context"
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/platform"
)

const (
	// healthEvery is the time between two questions to the target while nothing
	// else tells its load. Its speed changes several times a second.
	healthEvery = 50 * time.Millisecond
	// healthTimeout bounds one question.
	healthTimeout = 400 * time.Millisecond
	// healthIdle is how long the connection for questions is kept idle.
	healthIdle = 5 * time.Second
)

// healthChecker asks the target beside the node how it is: how fast it works,
// whether it is cold, and whether it takes connections at all.
type healthChecker struct {
	node *Node
	now  chan struct{}
	pool *exchange.Pool
}

func newHealthChecker(n *Node) *healthChecker {
	return &healthChecker{node: n, now: make(chan struct{}, 1)}
}

// askNow asks for a question at once.
func (h *healthChecker) askNow() {
	select {
	case h.now <- struct{}{}:
	default:
	}
}

// run asks until the context ends.
func (h *healthChecker) run(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-h.now:
			forced = true
		case <-ticker.C:
		}
		if forced || h.due() {
			h.ask(ctx)
		}
	}
}

// due reports whether the target's load was not told for a while.
func (h *healthChecker) due() bool {
	g := h.node.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.answeredAt) >= healthEvery*4/5
}

// ask asks once.
func (h *healthChecker) ask(ctx context.Context) {
	g := h.node.guard
	state := g.state(time.Now())
	facts, ok := h.node.config.service(state.Service)
	if !ok || facts.HealthCheckPath == "" || state.Address == "" {
		return
	}
	if h.pool == nil || h.pool.Address() != state.Address {
		h.pool = exchange.NewPool(state.Address, exchange.Options{
			DialTimeout: targetDialTimeout,
			IdleTimeout: healthIdle,
			OnOpen:      func() { h.node.meters.targetConnections.Inc(1) },
		})
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	h.node.meters.healthChecks.Inc(1)
	message := exchange.Request{Method: http.MethodGet, RequestURI: facts.HealthCheckPath, Host: state.Address, Header: http.Header{}}
	answer, err := h.pool.Do(ctx, &message, 0)
	if err != nil {
		if failure := exchange.AsError(err); failure != nil && failure.Kind == exchange.KindDial {
			g.broke(state.Instance, err)
		}
		return
	}
	h.learn(answer)
}

// learn takes in the answer to a question.
func (h *healthChecker) learn(answer *exchange.Response) {
	g := h.node.guard
	g.sampled(answer.Header.Get(platform.HeaderLoad))
	instance := answer.Header.Get(platform.HeaderInstance)
	cold, err := platform.ParseMillis(answer.Header.Get(platform.HeaderColdLeft))
	if err != nil {
		h.node.events.badMessage("health", h.node.settings().Target, err)
		return
	}
	g.mu.Lock()
	changed := g.gate.ApplyHealthCheck(instance, cold, time.Now())
	state := g.gate.State(time.Now())
	g.mu.Unlock()
	if changed {
		h.node.events.targetChecked(state)
		h.node.peers.tellAll()
	}
}

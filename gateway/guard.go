package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/journal"
	"verbenatrestle/request"
)

const (
	// answerGrace is how long the answer of a target may take past the deadline
	// that it was given: it stops by itself then, and says so.
	answerGrace = 120 * time.Millisecond
	// targetDialTimeout bounds the opening of a connection to the target, which
	// runs on the same VM.
	targetDialTimeout = 300 * time.Millisecond
	// targetIdle is how long a connection to the target is kept idle. Targets
	// that say less are believed.
	targetIdle = 8 * time.Second
	// onceIdle is how long a connection may have been idle for a request that
	// must not run twice: the target may close an idle one at any moment, and a
	// request that meets the close is lost.
	onceIdle = time.Second
	// coldUse is the part of a cold target's bound that is used.
	coldUse = 0.93
	// spareConnections of the target's limit stay unused, for connections that
	// the target has not seen closed yet.
	spareConnections = 8
	// minSendLeft is the least time left with which a request is still sent.
	minSendLeft = 3 * time.Millisecond
)

// guard is the only way into the target beside the node.
type guard struct {
	node *Node

	mu   sync.Mutex
	gate *gate.Gate
	pool *exchange.Pool
	// answeredAt is when the target last told its load.
	answeredAt time.Time
}

func newGuard(n *Node, settings gate.Settings) *guard {
	return &guard{node: n, gate: gate.New(settings)}
}

// state returns the gate's state.
func (g *guard) state(now time.Time) gate.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.State(now)
}

func loadOf(s gate.State) fleet.Load {
	return fleet.Load{Running: s.Running, Waiting: s.Waiting, Slowdown: s.Slowdown, Accepting: s.Accepting}
}

// run takes one attempt through the gate and to the target.
func (g *guard) run(ctx context.Context, o *order) result {
	now := time.Now()
	if reason, after := g.admit(ctx, o, now); reason != "" {
		r := refused(string(reason), after)
		r.load, r.loaded = loadOf(g.state(time.Now())), true
		g.node.events.gateRefused(o, reason, after, r.load)
		return r
	}
	r := g.send(ctx, o)
	r.load, r.loaded = loadOf(g.state(time.Now())), true
	return r
}

// admit waits until the request may pass, or returns why it may not.
func (g *guard) admit(ctx context.Context, o *order, now time.Time) (gate.Refusal, time.Duration) {
	g.mu.Lock()
	if g.gate.State(now).Service != o.service {
		g.mu.Unlock()
		return gate.RefusedOtherService, 0
	}
	decision := g.gate.Admit(o.work, now)
	g.mu.Unlock()
	if decision.Waiter == nil {
		return decision.Refused, decision.RetryAfter
	}
	select {
	case reason := <-decision.Waiter.Result:
		return reason, decision.Waiter.RetryAfter
	case <-ctx.Done():
		return g.cancel(decision.Waiter, o), 0
	}
}

// cancel takes a request out of the queue, or ends it if it has just passed.
func (g *guard) cancel(ticket *gate.Waiter, o *order) gate.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.Cancel(ticket) {
		return gate.RefusedLate
	}
	if reason := <-ticket.Result; reason != "" {
		return reason
	}
	g.gate.Unsent(o.work, time.Now())
	return gate.RefusedLate
}

// send sends an admitted request to the target and waits for its answer.
func (g *guard) send(ctx context.Context, o *order) result {
	start := time.Now()
	g.mu.Lock()
	pool, state := g.pool, g.gate.State(start)
	g.mu.Unlock()
	left := o.work.Deadline.Sub(start)
	if left < minSendLeft {
		g.unsent(o)
		return refused(string(gate.RefusedLate), 0)
	}
	message := o.message
	message.Header = o.message.Header.Clone()
	message.Header.Set(platform.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	message.Header.Set(platform.HeaderExpectedTarget, state.Instance)
	message.Header.Set(platform.HeaderCaller, o.work.Caller)
	ctx, cancel := context.WithDeadline(ctx, o.work.Deadline.Add(answerGrace))
	defer cancel()
	maxIdle := time.Duration(0)
	if o.work.NonIdempotent {
		maxIdle = onceIdle
	}
	answer, err := pool.Do(ctx, &message, maxIdle)
	if err != nil {
		return g.sendFailed(o, state, err)
	}
	return g.answered(o, state, answer, time.Since(start))
}

func (g *guard) unsent(o *order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Unsent(o.work, time.Now())
}

func (g *guard) shed(o *order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Shed(o.work, time.Now())
}

func (g *guard) done(o *order, began gate.State, took time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !failed {
		g.gate.ObserveRun(o.work.Kind, took, began)
	}
	g.gate.Done(o.work, took, failed, time.Now())
}

// sendFailed ends an attempt without an answer. Only a request of which no
// byte left is known not to have run.
func (g *guard) sendFailed(o *order, state gate.State, err error) result {
	failure := exchange.AsError(err)
	if failure == nil || failure.MaybeSent {
		kind := exchange.KindBroken
		if failure != nil {
			kind = failure.Kind
		}
		g.lost(o, state, kind, err)
		return result{outcome: request.Unknown, reason: string(kind), arrived: true, err: err}
	}
	g.unsent(o)
	if failure.Kind == exchange.KindDial {
		g.broke(state.Instance, err)
	}
	return result{outcome: request.NotRun, reason: string(failure.Kind), err: err}
}

// lost ends a request without an answer. A caller that left says nothing about
// the target.
func (g *guard) lost(o *order, state gate.State, kind exchange.Kind, err error) {
	now := time.Now()
	g.mu.Lock()
	down := false
	switch kind {
	case exchange.KindBroken:
		down = g.gate.ConnectionLost(o.work, now)
	case exchange.KindCancelled:
		g.gate.Cancelled(o.work, now)
	default:
		g.gate.Done(o.work, 0, true, now)
	}
	g.mu.Unlock()
	if down {
		g.tellDown(state.Instance, err)
	}
	if kind != exchange.KindCancelled {
		g.node.events.attemptLost(o, state.Instance, string(kind), state.Running, err)
		g.node.health.askNow()
	}
}

// broke closes the gate to a target that takes no connections.
func (g *guard) broke(instance string, err error) {
	g.mu.Lock()
	state := g.gate.State(time.Now())
	changed := state.Accepting && state.Instance == instance
	if changed {
		g.gate.MarkDown(time.Now())
	}
	g.mu.Unlock()
	if changed {
		g.tellDown(instance, err)
	}
	g.node.health.askNow()
}

// tellDown logs that the gate was closed to a target that is down, and tells
// the peers.
func (g *guard) tellDown(instance string, err error) {
	g.node.events.targetDown(instance, err)
	g.node.peers.tellAll()
}

// answered sorts a whole answer.
func (g *guard) answered(o *order, state gate.State, answer *exchange.Response, took time.Duration) result {
	g.sampled(answer.Header.Get(platform.HeaderLoad))
	notRun := answer.Header.Get(platform.HeaderNotRun) != "" || answer.Status == http.StatusMisdirectedRequest
	if notRun {
		if answer.Status == http.StatusMisdirectedRequest {
			g.unsent(o)
			g.broke(state.Instance, errors.New("another target has the address"))
		} else {
			g.shed(o)
		}
		return result{outcome: request.NotRun, reason: "target-refused", arrived: true, retryAfter: targetRefusedAfter}
	}
	good := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	g.done(o, state, took, !good)
	if good && answer.Header.Get(platform.HeaderSignature) == "" {
		return result{outcome: request.Unknown, reason: "unsigned-answer", arrived: true, err: errors.New("the answer has no signature")}
	}
	if answer.Header.Get("Content-Encoding") != "" {
		return result{outcome: request.Unknown, reason: "encoded-answer", arrived: true, err: errors.New("the answer's body is encoded")}
	}
	return result{answer: answer, arrived: true}
}

// targetRefusedAfter is when a request may come back that a target refused by
// itself: about the run of one request.
const targetRefusedAfter = 200 * time.Millisecond

// sampled takes in a load sample of the target and tells the peers of a step.
func (g *guard) sampled(value string) {
	if value == "" {
		return
	}
	sample, err := platform.ParseLoadSample(value)
	if err != nil {
		g.node.events.badMessage("load_sample", g.node.settings().Target, err)
		return
	}
	g.mu.Lock()
	step := g.gate.ApplySlowdown(sample.Slowdown, time.Now())
	g.answeredAt = time.Now()
	g.mu.Unlock()
	if step {
		g.node.peers.tellAll()
	}
}

// reported takes in a status report of the target.
func (g *guard) reported(report gate.Report) {
	now := time.Now()
	g.mu.Lock()
	before := g.gate.State(now)
	accepted := g.gate.ApplyReport(report, now)
	after := g.gate.State(now)
	if accepted && (g.pool == nil || g.pool.Address() != report.Address || before.Instance != after.Instance) {
		g.replacePool(report.Address)
	}
	g.mu.Unlock()
	if !accepted {
		g.node.events.reportIgnored(report, "older than what is known")
		return
	}
	g.configure(g.node.config.table())
	changed := before.Instance != after.Instance || before.Accepting != after.Accepting
	if changed {
		g.node.events.targetChanged(report, before, after)
		g.node.peers.tellAll()
	}
}

// replacePool starts anew with connections. The old ones end with their
// requests. The caller holds the lock.
func (g *guard) replacePool(address string) {
	if g.pool != nil {
		g.pool.Close()
	}
	limit := 0
	if facts, ok := g.node.config.service(g.gate.State(time.Now()).Service); ok && facts.MaxConnections > 0 {
		limit = max(1, facts.MaxConnections-spareConnections)
	}
	g.pool = exchange.NewPool(address, exchange.Options{
		IDHeader:           platform.HeaderRequestID,
		DialTimeout:        targetDialTimeout,
		IdleTimeout:        targetIdle,
		MaxOpenConnections: limit,
		OnOpen:             func() { g.node.meters.targetConnections.Inc(1) },
	})
}

// left takes in that a life of the target leaves for good.
func (g *guard) left(instance string, born int64) {
	now := time.Now()
	g.mu.Lock()
	g.gate.Deregister(instance, born, now)
	g.mu.Unlock()
	g.node.events.log(journal.Change, "target_left", "instance", instance, "born", born)
	g.node.peers.tellAll()
}

// configure takes in what is in force: the service's figures, and whether the
// data centre is out.
func (g *guard) configure(table *routeState) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.gate.State(now)
	if table.routes != nil {
		if facts, ok := table.routes.Service(state.Service); ok {
			g.gate.SetColdStart(facts.ColdStartRequestsPerSecond*g.node.settings().Limits.ColdFactor*coldUse, facts.ColdStartDuration)
		}
	}
	g.gate.SetDataCentreOut(table.isOut(g.node.settings().DataCentre), now)
}

// tick lets time pass at the gate.
func (g *guard) tick() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	service := g.gate.State(now).Service
	g.gate.SetPeerTargets(g.node.fleet.PeerTargets(service, now))
	g.gate.Tick(now)
	if g.pool != nil {
		g.pool.CloseExpired(now)
	}
}

// setRepeats changes the budget of repeated sends.
func (g *guard) setRepeats(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetRetryBudget(limits.repeats())
}

// inherits draws whether a request that begins here belongs to a repeat that
// the target runs.
func (g *guard) inherits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rand.Float64() < g.gate.RetryShare()
}

// fence makes sure that a request that did not come yet never runs.
func (g *guard) fence(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Fence(id, time.Now())
}

package gateway

import (
	"cmp"
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
	"verbenatrestle/request"
	"verbenatrestle/version"
)

const (
	// responseGrace is how long the node waits for a response after the deadline
	// that it sent to the target. The target stops the request at the deadline
	// and responds that it did.
	responseGrace = 120 * time.Millisecond
	// targetDialTimeout bounds the opening of a connection to the target, which
	// runs on the same VM.
	targetDialTimeout = 300 * time.Millisecond
	// targetIdleTimeout is how long a connection to the target is kept idle. A
	// shorter timeout in a Keep-Alive header of the target takes precedence.
	targetIdleTimeout = 8 * time.Second
	// nonIdempotentMaxIdle is how long a connection may have been idle to be
	// used for a non-idempotent request. The target may close an idle
	// connection at any moment, and a request sent at that moment is lost.
	nonIdempotentMaxIdle = time.Second
	// coldRateUtilisation is the part of the permitted request rate of a cold
	// target that is used.
	coldRateUtilisation = 0.93
	// spareConnections is the number of connections below the target's limit
	// that stay unused, since the target may not have noticed yet that others
	// were closed.
	spareConnections = 8
	// minSendTime is the least time that must remain until the deadline for a
	// request to be sent.
	minSendTime = 3 * time.Millisecond
)

// localTarget sends requests to the target beside the node. Every request to
// that target passes through it, so its gate counts all of them. It is safe
// for concurrent use.
type localTarget struct {
	node *Node

	mu   sync.Mutex
	gate *gate.Gate
	pool *exchange.Pool
	// loadSampledAt is when the target last sent a load sample.
	loadSampledAt time.Time
	// namedLimit is the request limit that the target named last, in requests a second.
	// Zero means none.
	namedLimit float64
	// waitingReport is the latest report that arrived before the departures of earlier
	// processes of the target were known, or nil. waitingReportConfirmed is set if the same
	// process had sent an earlier one.
	waitingReport          *gate.Report
	waitingReportConfirmed bool
}

// newLocalTarget returns a localTarget whose target is unknown until it
// reports.
func newLocalTarget(n *Node, settings gate.Settings) *localTarget {
	t := &localTarget{node: n, gate: gate.New(settings)}
	if n.settings().FirstStart {
		t.gate.SetPeerTargets(gate.PeerTargets{}) // no earlier process has used the retry budget
	}
	return t
}

// state returns the state of the gate.
func (t *localTarget) state(now time.Time) gate.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.State(now)
}

// loadOf returns the load that peers receive.
func loadOf(s gate.State) fleet.Load {
	return fleet.Load{Running: s.Running, Waiting: s.Waiting, Slowdown: s.Slowdown, Accepting: s.Accepting}
}

// run makes one attempt: it waits for admission by the gate and sends the
// request to the target.
func (t *localTarget) run(ctx context.Context, req *targetRequest) attemptResult {
	now := time.Now()
	reason, retryAfter := t.node.crashes.admit(req)
	if reason == "" {
		reason, retryAfter = t.admit(ctx, req, now)
	}
	if reason != "" {
		r := refusedResult(string(reason), retryAfter)
		if reason.MayHaveRun() {
			r.outcome = request.Unknown
		}
		r.load, r.hasLoad = loadOf(t.state(time.Now())), true
		t.node.events.gateRefused(req, reason, retryAfter, r.load)
		return r
	}
	t.node.metrics.gateAdmitted(&req.admission)
	r := t.send(ctx, req)
	r.load, r.hasLoad = loadOf(t.state(time.Now())), true
	return r
}

// admit waits until the request is admitted, or returns the reason of the
// refusal and the delay after which the request may be sent again.
func (t *localTarget) admit(ctx context.Context, req *targetRequest, now time.Time) (gate.Refusal, time.Duration) {
	t.mu.Lock()
	if t.gate.State(now).Service != req.service {
		t.mu.Unlock()
		return gate.RefusedOtherService, 0
	}
	decision := t.gate.Admit(req.admission, now)
	t.mu.Unlock()
	if decision.Waiter == nil {
		return decision.Refused, decision.RetryAfter
	}
	select {
	case reason := <-decision.Waiter.Result:
		return reason, decision.Waiter.RetryAfter
	case <-ctx.Done():
		return t.cancel(decision.Waiter, req), 0
	}
}

// cancel removes a request from the queue of the gate. If it has been admitted
// meanwhile, cancel releases its slot.
func (t *localTarget) cancel(waiter *gate.Waiter, req *targetRequest) gate.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate.Cancel(waiter) {
		return gate.RefusedLate
	}
	if reason := <-waiter.Result; reason != "" {
		return reason
	}
	t.gate.Unsent(req.admission, time.Now())
	return gate.RefusedLate
}

// send sends an admitted request to the target and waits for the response. The pool, the
// service and the instance are those of one moment: a target that takes the address later is
// not the instance that the request names, and does not run it.
func (t *localTarget) send(ctx context.Context, req *targetRequest) attemptResult {
	start := time.Now()
	t.mu.Lock()
	pool, state := t.pool, t.gate.State(start)
	t.mu.Unlock()
	remaining := req.admission.Deadline.Sub(start)
	switch {
	case state.Service != req.service: // another target has reported since the admission
		t.releaseUnsent(req)
		return refusedResult(string(gate.RefusedOtherService), 0)
	case remaining < minSendTime:
		t.releaseUnsent(req)
		return refusedResult(string(gate.RefusedLate), 0)
	}
	message := req.message
	message.Header = req.message.Header.Clone()
	message.Header.Set(platform.HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	message.Header.Set(platform.HeaderExpectedTarget, state.Instance)
	message.Header.Set(platform.HeaderCaller, req.admission.Caller)
	if req.caller.Organisation != "" {
		message.Header.Set(platform.HeaderOrganisation, req.caller.Organisation)
	}
	ctx, cancel := context.WithDeadline(ctx, req.admission.Deadline.Add(responseGrace))
	defer cancel()
	maxIdle := time.Duration(0)
	if req.admission.NonIdempotent {
		maxIdle = nonIdempotentMaxIdle
	}
	response, err := pool.Do(ctx, &message, maxIdle)
	if err != nil {
		return t.handleSendError(req, state, err)
	}
	cleanResponseHeader(response.Header)
	return t.handleResponse(req, state, response, time.Since(start))
}

// releaseUnsent releases the slot of a request that was not sent, or that was
// answered by another target instance, which did not run it.
func (t *localTarget) releaseUnsent(req *targetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Unsent(req.admission, time.Now())
}

// releaseShed releases the slot of a request that the target refused to run.
// The gate counts it as a failure of the target.
func (t *localTarget) releaseShed(req *targetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Shed(req.admission, time.Now())
}

// recordRun records the run of a request and releases its slot. StateAtStart
// is the state of the gate when the request was sent.
func (t *localTarget) recordRun(req *targetRequest, stateAtStart gate.State, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !failed {
		t.gate.ObserveRun(req.admission.Kind, took, stateAtStart)
	}
	t.gate.Done(req.admission, took, failed, time.Now())
}

// handleResponse returns the result of an attempt with a response. Responses of
// a wrong target, refusals, successful responses without a signature and encoded
// responses are not passed on.
func (t *localTarget) handleResponse(req *targetRequest, state gate.State, response *exchange.Response, took time.Duration) attemptResult {
	t.recordLoadSample(response.Header.Get(platform.HeaderLoad))
	t.applyNotices(state.Instance, response.Header, time.Now().Add(-took))
	notRun := response.Header.Get(platform.HeaderNotRun) != "" || response.Status == http.StatusMisdirectedRequest
	if notRun && response.Status == http.StatusBadRequest && req.message.ID == "" {
		t.releaseUnsent(req) // no target takes a request without an ID
		return attemptResult{response: response, arrived: true}
	}
	if notRun {
		if response.Status == http.StatusMisdirectedRequest {
			t.releaseUnsent(req)
			t.markDown(state.Instance, errOtherInstance)
		} else {
			t.releaseShed(req)
		}
		return attemptResult{outcome: request.NotRun, reason: "target-refused", arrived: true, retryAfter: targetRefusedRetryAfter}
	}
	success := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	signed := response.Header.Get(platform.HeaderSignature) != ""
	if success && signed {
		t.node.crashes.recordCompletion(&req.admission, state.Instance)
	}
	t.recordRun(req, state, took, !success)
	if success && !signed {
		return attemptResult{outcome: request.Unknown, reason: "unsigned-answer", arrived: true, err: errors.New("the response has no signature")}
	}
	if response.Header.Get("Content-Encoding") != "" {
		return attemptResult{outcome: request.Unknown, reason: "encoded-answer", arrived: true, err: errors.New("the response body is encoded")}
	}
	return attemptResult{response: response, arrived: true}
}

// errOtherInstance means that another process of the target runs at its address.
var errOtherInstance = errors.New("another target instance answers at the address")

// targetRefusedRetryAfter is the Retry-After of a request that the target
// itself refused. A request runs for about that long.
const targetRefusedRetryAfter = 200 * time.Millisecond

// recordLoadSample applies a load sample, the value of a header, and sends a
// status to the peers if the slowdown changed by a step. An empty value is
// ignored.
func (t *localTarget) recordLoadSample(value string) {
	if value == "" {
		return
	}
	sample, err := platform.ParseLoadSample(value)
	if err != nil {
		t.node.events.badMessage("load_sample", t.node.settings().Target, err)
		return
	}
	t.mu.Lock()
	step := t.gate.ApplySlowdown(sample.Slowdown, time.Now())
	t.loadSampledAt = time.Now()
	t.mu.Unlock()
	if step {
		t.node.peers.requestBroadcast()
	}
}

// replacePool replaces the connection pool. Connections of the old pool are
// closed when their requests end. The caller holds the lock.
func (t *localTarget) replacePool(address string) {
	if t.pool != nil {
		t.pool.Close()
	}
	service, _ := t.node.config.service(t.gate.State(time.Now()).Service)
	t.pool = exchange.NewPool(address, exchange.Options{
		IDHeader:           platform.HeaderRequestID,
		DialTimeout:        targetDialTimeout,
		IdleTimeout:        targetIdleTimeout,
		MaxOpenConnections: connectionLimit(service),
		Memory:             t.node.responseMemory,
		OnOpen:             func() { t.node.metrics.targetConnections.Inc(1) },
	})
}

// connectionLimit returns how many connections the pool may open to a target of the
// service. Zero means no bound.
func connectionLimit(service version.ServiceConfig) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, service.MaxConnections-spareConnections)
}

// configure applies a configuration snapshot: the cold start and connection limits of
// the service, and whether the data centre is out of service.
func (t *localTarget) configure(config *configSnapshot) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.gate.State(now)
	if config.routes != nil {
		if service, ok := config.routes.Service(state.Service); ok {
			t.gate.SetColdStart(service.ColdStartRequestsPerSecond*t.node.settings().Limits.ColdFactor*coldRateUtilisation, service.ColdStartDuration)
			if t.pool != nil {
				t.pool.SetMaxOpenConnections(connectionLimit(service))
			}
		}
	}
	t.gate.SetDataCentreOut(config.isOutOfService(t.node.settings().DataCentre), now)
}

// tick advances the gate to the present time, and reports whether requests wait there.
func (t *localTarget) tick(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Tick(now)
	return t.gate.State(now).Waiting > 0
}

// sweep closes idle connections and counts the targets beside the other nodes.
func (t *localTarget) sweep(now time.Time) {
	t.countPeers(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil {
		t.pool.CloseExpired(now)
	}
}

// countPeers counts the targets beside the other nodes. Until the target has reported, its
// service is that of the settings.
func (t *localTarget) countPeers(now time.Time) {
	settings := t.node.settings()
	service := cmp.Or(t.state(now).Service, settings.Service)
	targets := t.node.fleet.PeerTargets(service, settings.Limits.retryBudget().Window, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if targets.Targets > 0 || !now.Before(t.node.slackFrom()) { // else peers may not be known yet
		t.gate.SetPeerTargets(targets)
	}
}

// confirmOneProcessBefore records that the process of this node before had the whole slack of
// the retry budget.
func (t *localTarget) confirmOneProcessBefore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.ConfirmOneProcessBefore()
}

// setRetryBudget changes the retry budget.
func (t *localTarget) setRetryBudget(limits Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.SetRetryBudget(limits.retryBudget())
}

// causedByRetry decides at random whether a request of a caller counts as caused
// by a retry at the local target. The ingress does not know which requests the
// local target sends. The probability is the share of retries among the requests
// in flight to the target.
func (t *localTarget) causedByRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.Float64() < t.gate.RetryShare()
}

// fence prevents a non-idempotent request from being admitted here while the
// fence is kept, for the dedup window. It returns false if the request was
// admitted or began to wait within the last such time, so that it may have run
// or may still run.
func (t *localTarget) fence(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Fence(id, time.Now())
}

package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/request/balance"
)

const (
	// maxAttempts bounds the attempts of one request, hedges included.
	maxAttempts = 6
	// maxBrokenConnections is how many broken connections of targets end a request, since
	// a request in flight at two crashes is quarantined.
	maxBrokenConnections = 2
	// noTargetRetryAfter is when a caller may come back that found no target.
	noTargetRetryAfter = time.Second
)

// targetCaller makes one attempt at the guard of a node.
type targetCaller interface {
	call(ctx context.Context, node string, req *bufferedRequest) result
}

// dispatcher finds a target for a request: it picks, tries, retries and
// hedges. It holds no state of a request.
type dispatcher struct {
	table   *balance.Table
	budgets *budgets
	targets targetCaller
	rngs    *sync.Pool
	metrics *requestMetrics
}

// newRandoms returns a pool of random number generators.
func newRandoms() *sync.Pool {
	return &sync.Pool{New: func() any {
		return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}}
}

// dispatch runs the order on a target and returns the final answer or failure.
// The caller's context ends when nobody waits any more.
func (d *dispatcher) dispatch(ctx context.Context, req *bufferedRequest) result {
	now := time.Now()
	budget := d.budgets.of(req.service.ID, now)
	budget.hedge.RecordRequest()
	run := &dispatchRun{dispatcher: d, req: req, budget: budget}
	return run.loop(ctx)
}

// dispatchRun is the state of one request's attempts.
type dispatchRun struct {
	*dispatcher
	req    *bufferedRequest
	budget *serviceBudget
	tried  []string
	// brokenConnections counts the attempts under which a target's connection broke: each
	// may be a crash that the request caused.
	brokenConnections atomic.Int32
}

// loop makes attempts until one is final.
func (r *dispatchRun) loop(ctx context.Context) result {
	var all combinedResult
	for {
		node, ok := r.pick()
		if !ok {
			return r.noTarget(all.last)
		}
		all.last.close()
		last := all.add(r.attempt(ctx, node))
		if !r.shouldRetry(ctx, &last) {
			return last
		}
		r.markSuspect()
		r.metrics.retries.Inc(1)
	}
}

// markSuspect marks the request for the attempts to come once a target's
// connection broke under it. The other nodes may not have heard of a crash yet.
func (r *dispatchRun) markSuspect() {
	if r.brokenConnections.Load() == 0 || r.req.suspect {
		return
	}
	marked := *r.req
	marked.suspect = true
	r.req = &marked
}

// pick chooses the node of the next attempt among those not yet tried.
func (r *dispatchRun) pick() (string, bool) {
	if len(r.tried) >= maxAttempts {
		return "", false
	}
	rng := r.rngs.Get().(*rand.Rand)
	defer r.rngs.Put(rng)
	node, ok := r.table.Pick(string(r.req.service.ID), r.tried, time.Now(), rng)
	if ok {
		r.tried = append(r.tried, node)
	}
	return node, ok
}

// noTarget ends a request for which there is no further target.
func (r *dispatchRun) noTarget(last result) result {
	r.metrics.exhausted.Inc(1)
	if last.response != nil || last.failure != nil {
		return last
	}
	f := newFailure(http.StatusServiceUnavailable, request.NotRun, "pick", "",
		"no target takes work", errors.Errorf("service %s has no target that takes work", r.req.service.ID))
	return failed(balance.Refused, withRetryAfter(f, noTargetRetryAfter))
}

// shouldRetry reports whether another attempt is allowed after last.
func (r *dispatchRun) shouldRetry(ctx context.Context, last *result) bool {
	if !last.retryable() {
		r.budget.retry.RecordSuccess()
		return false
	}
	now := time.Now()
	if ctx.Err() != nil || r.req.deadline.Expired(now) {
		return false
	}
	if !last.notRun() && !r.req.route.Idempotent {
		return false
	}
	if r.brokenConnections.Load() >= maxBrokenConnections {
		return false
	}
	allowed := r.allowRetry(last, now)
	if !allowed {
		r.metrics.retriesDenied.Inc(1)
	}
	return allowed
}

// allowRetry spends the price of another attempt, if the retry budget has it.
func (r *dispatchRun) allowRetry(last *result, now time.Time) bool {
	if last.notRun() {
		return r.budget.retry.AllowAfterRefusal(now)
	}
	return r.budget.retry.AllowAfterUnknown(now)
}

// attempt makes one attempt, beside which a hedge may start.
func (r *dispatchRun) attempt(ctx context.Context, node string) result {
	delay, known := r.budget.hedge.Delay(time.Now())
	if !known || !r.req.route.Idempotent || !r.req.route.Hedge || r.req.suspect {
		return r.attemptOnce(ctx, node)
	}
	return r.attemptHedged(ctx, node, delay)
}

// attemptHedged makes an attempt and, when it is slow and the budget allows, a second
// one beside it. The first good end wins; the other is cancelled.
func (r *dispatchRun) attemptHedged(ctx context.Context, node string, delay time.Duration) result {
	first := r.startAttempt(ctx, node)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case res := <-first.done:
		return res
	case <-timer.C:
	}
	if !r.budget.hedge.Allow(time.Now()) {
		return <-first.done
	}
	second, ok := r.pick()
	if !ok {
		return <-first.done
	}
	r.metrics.hedges.Inc(1)
	return r.race(first, r.startAttempt(ctx, second))
}

// pendingAttempt is an attempt that runs in its own goroutine.
type pendingAttempt struct {
	done   chan result
	cancel context.CancelFunc
}

// startAttempt makes an attempt in a goroutine.
func (r *dispatchRun) startAttempt(ctx context.Context, node string) pendingAttempt {
	ctx, cancel := context.WithCancel(ctx)
	p := pendingAttempt{done: make(chan result, 1), cancel: cancel}
	go func() {
		res := r.attemptOnce(ctx, node)
		res.onClose(cancel)
		p.done <- res
	}()
	return p
}

// race returns the first good result of two attempts, and gives up the other.
func (r *dispatchRun) race(a, b pendingAttempt) result {
	var res result
	other := b
	select {
	case res = <-a.done:
	case res = <-b.done:
		other = a
		r.metrics.hedgesWon.Inc(1)
	}
	if res.retryable() {
		var both combinedResult
		both.add(res)
		res.close()
		return both.add(<-other.done)
	}
	go other.discard()
	return res
}

// discard cancels an attempt that lost and frees what it holds.
func (p pendingAttempt) discard() {
	p.cancel()
	res := <-p.done
	res.close()
}

// attemptOnce makes one attempt and tells the balancing table and budgets of its end.
func (r *dispatchRun) attemptOnce(ctx context.Context, node string) result {
	service := string(r.req.service.ID)
	start := time.Now()
	r.table.Begin(service, node, start)
	res := r.targets.call(ctx, node, r.req)
	now := time.Now()
	if ctx.Err() != nil && res.response == nil && !res.notRun() {
		res.kind = balance.Cancelled
	}
	if res.targetConnectionBroke() {
		r.brokenConnections.Add(1)
	}
	if res.hasSample {
		r.table.Observe(service, node, res.sample, now)
	}
	latency := now.Sub(start)
	r.table.End(service, node, now, balance.Result{Latency: latency, Kind: res.kind})
	if res.kind == balance.Answered {
		r.budget.hedge.Observe(latency, now)
	}
	return res
}

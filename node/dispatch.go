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
	// maxBrokenConnections is the number of broken connections to targets after
	// which a request is not retried, because a request that was in flight at
	// two crashes is quarantined.
	maxBrokenConnections = 2
	// noTargetRetryAfter is the Retry-After of a request that found no target.
	noTargetRetryAfter = time.Second
)

// targetCaller sends one attempt to the target of a node.
type targetCaller interface {
	call(ctx context.Context, node string, req *bufferedRequest) result
}

// dispatcher runs requests on targets: it picks a target for each attempt,
// retries and hedges. The state of a single request is in dispatchRun.
type dispatcher struct {
	table   *balance.Table
	budgets *budgets
	targets targetCaller
	rngs    *sync.Pool
	metrics *requestMetrics
}

// newRandoms returns a pool of random number generators, which are not safe for
// concurrent use.
func newRandoms() *sync.Pool {
	return &sync.Pool{New: func() any {
		return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}}
}

// dispatch runs the request on a target and returns the final response or
// failure. Cancelling the context cancels the attempts.
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
	// brokenConnections counts the attempts during which the connection to a
	// target broke. Each may be a crash that the request caused.
	brokenConnections atomic.Int32
}

// loop makes attempts until a result is final.
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

// markSuspect marks the request as suspect in further attempts if the connection
// to a target broke during an earlier one, because other nodes may not have
// received the report of a crash yet.
func (r *dispatchRun) markSuspect() {
	if r.brokenConnections.Load() == 0 || r.req.suspect {
		return
	}
	marked := *r.req
	marked.suspect = true
	r.req = &marked
}

// pick chooses the node of the next attempt among those not yet tried. It
// returns false if there is none or if the request has used all its attempts.
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

// noTarget returns the final result of a request for which there is no further
// target: the last result, or a refusal if there was no attempt.
func (r *dispatchRun) noTarget(last result) result {
	r.metrics.exhausted.Inc(1)
	if last.response != nil || last.failure != nil {
		return last
	}
	f := newFailure(http.StatusServiceUnavailable, request.NotRun, "pick", "",
		"no target takes work", errors.Errorf("service %s has no target that accepts requests", r.req.service.ID))
	return failed(balance.Refused, withRetryAfter(f, noTargetRetryAfter))
}

// shouldRetry reports whether another attempt is useful and allowed after last.
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

// allowRetry withdraws another attempt from the retry budget and reports whether
// the budget allowed it.
func (r *dispatchRun) allowRetry(last *result, now time.Time) bool {
	if last.notRun() {
		return r.budget.retry.AllowAfterRefusal(now)
	}
	return r.budget.retry.AllowAfterUnknown(now)
}

// attempt makes one attempt, which may be hedged.
func (r *dispatchRun) attempt(ctx context.Context, node string) result {
	delay, known := r.budget.hedge.Delay(time.Now())
	if !known || !r.req.route.Idempotent || !r.req.route.Hedge || r.req.suspect {
		return r.attemptOnce(ctx, node)
	}
	return r.attemptHedged(ctx, node, delay)
}

// attemptHedged makes an attempt and, if there is no result after delay and the
// hedge budget allows it, a second one in parallel. The first good result wins,
// and the other attempt is cancelled.
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

// startAttempt makes an attempt in a goroutine of its own.
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

// race returns the first good result of two attempts and discards the other
// attempt. If the first result is retryable, it returns the second one.
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

// discard cancels the attempt and closes its response.
func (p pendingAttempt) discard() {
	p.cancel()
	res := <-p.done
	res.close()
}

// attemptOnce makes one attempt and reports its result to the balancing table
// and to the budgets.
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

package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
	"verbenatrestle/request/placement"
	"verbenatrestle/version"
)

const (
	// maxAttemptsPerRequest bounds the attempts for one request, including those
	// that are refused. Most refusals cost the target nothing, since the node
	// beside it refuses the request.
	maxAttemptsPerRequest = 6
	// minRetryTime is the least time that must remain until the deadline for
	// another attempt.
	minRetryTime = 20 * time.Millisecond
	// declinableAttempts is the number of attempts, counted from the first one,
	// at which a target declines the request if it can't start it at once. At
	// later attempts the request may be queued.
	declinableAttempts = 2
	// maxBrokenConnections is the number of connections to targets that may break under
	// a request before it is not sent again: the targets may have crashed because of it.
	maxBrokenConnections = 2
	// maxBudgetRefusals is the number of targets that may refuse a retry for lack of retry
	// budget before it is given up.
	maxBudgetRefusals = 2
	// noTargetRetryAfter is the Retry-After if no target can be reached, or if no
	// refusal names a delay. A peer that was unreachable is usually reachable again
	// after about that time.
	noTargetRetryAfter = 400 * time.Millisecond
)

// dispatch routes one request to targets until an attempt is final. It is used
// for a single request, by one goroutine.
type dispatch struct {
	node    *Node
	request *targetRequest
	rule    *version.RouteRule
	config  *configSnapshot
	started time.Time
	// tried names the nodes that must not be tried again. declined names the
	// nodes that refused only because other targets were left to try.
	tried, declined []string
	// sends counts the attempts that may have reached a target.
	sends int
	// quotaRetries counts the attempts beyond the first one that the quota of the
	// organisation was asked for.
	quotaRetries int
	// mayHaveRun is set once the request may have run at a target.
	mayHaveRun bool
	// brokenConnections counts the connections to targets that broke under the request,
	// and one more if it is a suspect.
	brokenConnections int
	// budgetRefusals counts the refusals for lack of retry budget.
	budgetRefusals int
	// attempts counts all attempts.
	attempts int
	// chosen is the target of the last attempt with its load at that time.
	chosen fleet.Candidate
	// retryAfter is the shortest delay that any refusal asked for.
	retryAfter time.Duration
}

// run makes attempts until one is final. If a target responded with an error
// and the later attempts got no response, the result is the response of that
// target.
func (d *dispatch) run(ctx context.Context) attemptResult {
	d.request.service = d.chooseService()
	last := refusedResult("no-target", noTargetRetryAfter)
	for d.attempts < maxAttemptsPerRequest {
		candidate, others, ok := d.chooseTarget()
		if !ok {
			break
		}
		d.request.admission.HasAlternatives = others > 0 && d.mayBeDeclined()
		r := d.attempt(ctx, &candidate)
		if r.response != nil || last.response == nil {
			last = r
		}
		if !d.shouldRetry(ctx, &r) || !d.withinQuota(ctx) {
			break
		}
	}
	return last
}

// withinQuota reports whether the quota of the organisation allows another attempt. Each one
// that reached a target counts.
func (d *dispatch) withinQuota(ctx context.Context) bool {
	if d.sends <= d.quotaRetries {
		return true
	}
	d.quotaRetries++
	return d.node.quotas.acquire(ctx, d.request.admission.ID, d.request.caller, d.config, d.request.admission.Deadline) == nil
}

// chooseService returns the service for the request. If several services share
// the route, it is chosen by their weights.
func (d *dispatch) chooseService() string {
	services := d.rule.Services
	if len(services) == 1 {
		return services[0].Name
	}
	return d.node.trafficSplitter.next(d.rule)
}

// mayBeDeclined reports whether the next target may decline the request if it
// can't start it at once.
func (d *dispatch) mayBeDeclined() bool { return d.attempts < declinableAttempts }

// excluded returns the names of the nodes that the next attempt must not use.
func (d *dispatch) excluded() []string {
	if d.mayBeDeclined() {
		return slices.Concat(d.tried, d.declined)
	}
	return d.tried
}

// chooseTarget chooses the target of the next attempt and returns how many
// other targets are left to try. It returns false if there is no target.
func (d *dispatch) chooseTarget() (chosen fleet.Candidate, others int, ok bool) {
	now := time.Now()
	candidates := d.node.candidates(d.request.service, d.config, now)
	rng := d.node.rngs.Get().(*rand.Rand)
	defer d.node.rngs.Put(rng)
	excluded := d.excluded()
	index := placement.Choose(candidates, excluded, placement.Locality{DataCentre: d.node.settings().DataCentre}, rng)
	if index < 0 {
		return fleet.Candidate{}, 0, false
	}
	for i := range candidates {
		if i != index && !slices.Contains(excluded, candidates[i].Node) {
			others++
		}
	}
	return candidates[index], others, true
}

// attempt makes one attempt at the chosen target.
func (d *dispatch) attempt(ctx context.Context, to *fleet.Candidate) attemptResult {
	d.attempts++
	d.chosen = *to
	req := *d.request
	req.admission.Retry = d.sends > 0
	req.admission.MayHaveRun = d.mayHaveRun
	req.admission.Suspect = d.brokenConnections > 0
	r := d.node.attempt(ctx, to, &req)
	if r.declined() {
		d.declined = append(d.declined, to.Node)
	} else {
		d.tried = append(d.tried, to.Node)
	}
	if r.arrived {
		d.sends++
	}
	if r.reason == string(exchange.KindBroken) {
		d.brokenConnections++
	}
	if r.reason == string(gate.RefusedRetryBudget) {
		d.budgetRefusals++
	}
	d.mayHaveRun = d.mayHaveRun || r.response != nil || r.outcome != request.NotRun
	if r.retryAfter > 0 && (d.retryAfter == 0 || r.retryAfter < d.retryAfter) {
		d.retryAfter = r.retryAfter
	}
	return r
}

// attempt sends a request to the local target or to the node beside another
// target.
func (n *Node) attempt(ctx context.Context, to *fleet.Candidate, req *targetRequest) attemptResult {
	if to.Node == n.settings().Name {
		return n.localTarget.run(ctx, req)
	}
	n.fleet.Begin(to.Node)
	r := n.hopClient.run(ctx, to, req)
	n.fleet.End(to.Node)
	if r.hasLoad {
		n.fleet.MergeLoad(to.Node, r.load, time.Now())
	}
	return r
}

// shouldRetry reports whether another attempt is allowed after r.
func (d *dispatch) shouldRetry(ctx context.Context, r *attemptResult) bool {
	if ctx.Err() != nil || time.Until(d.request.admission.Deadline) < minRetryTime {
		return false
	}
	if r.response != nil && !r.isTargetError() {
		return false
	}
	if r.reason == string(gate.RefusedRetryBudget) && (r.retryAfter > 0 || d.budgetRefusals >= maxBudgetRefusals) {
		return false
	}
	if d.brokenConnections >= maxBrokenConnections || r.reason == string(gate.RefusedQuarantined) || r.reason == reasonKeyWithdrawn {
		return false
	}
	ran := r.response != nil || r.outcome != request.NotRun
	if ran && !d.rule.Idempotent {
		return false
	}
	if d.sends >= d.rule.MaxAttempts {
		return false
	}
	if ran {
		d.node.metrics.retries.Inc(1)
	}
	return true
}

// failure returns the problem document of a request that no target answered.
func (d *dispatch) failure(r *attemptResult) *request.Failure {
	f := &request.Failure{Step: r.reason, Peer: d.chosen.Node, Title: "no answer", Outcome: r.outcome}
	if r.err != nil {
		f.Detail = r.err.Error()
	}
	if d.mayHaveRun {
		f.Outcome = request.Unknown
	}
	switch {
	case f.Outcome == request.NotRun:
		f.Status, f.Title = http.StatusServiceUnavailable, "no target takes the request"
		f.RetryAfter = cmp.Or(max(d.retryAfter, r.retryAfter), noTargetRetryAfter)
	case time.Now().After(d.request.admission.Deadline):
		f.Status, f.Title = http.StatusGatewayTimeout, "no answer in time"
	default:
		f.Status = http.StatusBadGateway
	}
	return f
}

// candidates returns the targets of a service that requests may be sent to,
// including the local target.
func (n *Node) candidates(service string, config *configSnapshot, now time.Time) []fleet.Candidate {
	found := n.fleet.Candidates(service, now)
	state := n.localTarget.state(now)
	if state.Accepting && state.Service == service && !n.stopping.Load() {
		found = append(found, n.localCandidate(&state))
	}
	kept := found[:0]
	for _, c := range found {
		if !config.isOutOfService(c.DataCentre) {
			kept = append(kept, c)
		}
	}
	return kept
}

// localCandidate returns the local target as a candidate.
func (n *Node) localCandidate(state *gate.State) fleet.Candidate {
	return fleet.Candidate{
		Node: n.settings().Name, Incarnation: n.peers.incarnation, Instance: state.Instance,
		DataCentre: n.settings().DataCentre, Slots: state.Slots,
		Running: state.Running, Waiting: state.Waiting, Slowdown: state.Slowdown, ColdRemaining: state.ColdRemaining,
		FailurePercent: percent(state.FailureRate),
	}
}

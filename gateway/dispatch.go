package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
	"verbenatrestle/request/placement"
	"verbenatrestle/version"
)

const (
	// maxTries bounds the targets that are asked for one request. Most refuse
	// without any cost to their target.
	maxTries = 6
	// minRetryLeft is the least time left with which a request is tried again.
	minRetryLeft = 20 * time.Millisecond
	// movableTries is how many targets are asked to take the request only if they
	// can start it now, before one is asked to queue it.
	movableTries = 2
	// noTargetAfter is when to come back if no target can be reached: about the
	// time in which a lost one is heard again.
	noTargetAfter = 400 * time.Millisecond
)

// dispatch takes one request to an end. It lives for one request.
type dispatch struct {
	node    *Node
	order   *order
	rule    *version.RouteRule
	table   *routeState
	started time.Time
	// tried names the nodes that are not to be asked again. Those in sentOn
	// refused only because the request could go elsewhere.
	tried, sentOn []string
	// sends counts the attempts that may have reached a target.
	sends int
	// ran tells that an attempt may have run.
	ran bool
	// asked counts all attempts.
	asked int
	// chosen is the load of the last choice, for the log.
	chosen fleet.Candidate
	// retryAfter is the earliest that a refusal offered.
	retryAfter time.Duration
}

// do makes attempts until one is final. A target's answer, though it tells of a
// failure, goes before a refusal that came after it.
func (d *dispatch) do(ctx context.Context) result {
	d.order.service = d.choosePart()
	last := refused("no-target", noTargetAfter)
	for d.asked < maxTries {
		candidate, others, ok := d.choose()
		if !ok {
			break
		}
		d.order.work.HasAlternatives = others > 0 && d.movable()
		r := d.attempt(ctx, &candidate)
		if r.answer != nil || last.answer == nil {
			last = r
		}
		if !d.again(ctx, &r) {
			break
		}
	}
	return last
}

// choosePart chooses the service among those that share the route, so that
// each gets its share of the requests.
func (d *dispatch) choosePart() string {
	parts := d.rule.Services
	if len(parts) == 1 {
		return parts[0].Name
	}
	return d.node.shares.next(d.rule)
}

// movable reports whether the next target takes the request only if it can
// start it at once.
func (d *dispatch) movable() bool { return d.asked < movableTries }

// excluded names the nodes that the next attempt must not ask.
func (d *dispatch) excluded() []string {
	if d.movable() {
		return slices.Concat(d.tried, d.sentOn)
	}
	return d.tried
}

// choose chooses the target of the next attempt, and tells how many others
// there are to ask after it.
func (d *dispatch) choose() (chosen fleet.Candidate, others int, ok bool) {
	now := time.Now()
	candidates := d.node.candidates(d.order.service, d.table, now)
	rng := d.node.rngs.Get().(*rand.Rand)
	defer d.node.rngs.Put(rng)
	excluded := d.excluded()
	at := placement.Choose(candidates, excluded, placement.Locality{DataCentre: d.node.settings().DataCentre}, rng)
	if at < 0 {
		return fleet.Candidate{}, 0, false
	}
	for i := range candidates {
		if i != at && !slices.Contains(excluded, candidates[i].Node) {
			others++
		}
	}
	return candidates[at], others, true
}

// attempt makes one attempt at the chosen target.
func (d *dispatch) attempt(ctx context.Context, to *fleet.Candidate) result {
	d.asked++
	d.chosen = *to
	o := *d.order
	o.work.Retry = d.sends > 0
	o.work.MayHaveRun = d.ran
	r := d.node.attempt(ctx, to, &o)
	if r.sentOn() {
		d.sentOn = append(d.sentOn, to.Node)
	} else {
		d.tried = append(d.tried, to.Node)
	}
	if r.arrived {
		d.sends++
	}
	d.ran = d.ran || r.answer != nil || r.outcome != request.NotRun
	if r.retryAfter > 0 && (d.retryAfter == 0 || r.retryAfter < d.retryAfter) {
		d.retryAfter = r.retryAfter
	}
	return r
}

// attempt takes an order to the guard of a target, here or on another node.
func (n *Node) attempt(ctx context.Context, to *fleet.Candidate, o *order) result {
	if to.Node == n.settings().Name {
		return n.guard.run(ctx, o)
	}
	n.fleet.Begin(to.Node)
	r := n.hops.run(ctx, to, o)
	n.fleet.End(to.Node)
	if r.loaded {
		n.fleet.MergeLoad(to.Node, r.load, time.Now())
	}
	return r
}

// again reports whether another attempt is allowed after r.
func (d *dispatch) again(ctx context.Context, r *result) bool {
	if ctx.Err() != nil || time.Until(d.order.work.Deadline) < minRetryLeft {
		return false
	}
	if r.answer != nil && !r.failedRun() || r.reason == string(gate.RefusedRetryBudget) {
		return false
	}
	ran := r.answer != nil || r.outcome != request.NotRun
	if ran && !d.rule.Idempotent {
		return false
	}
	if d.sends >= d.rule.MaxAttempts {
		return false
	}
	if ran {
		d.node.meters.retries.Inc(1)
	}
	return true
}

// failure returns the final answer to a request that got none of a target.
func (d *dispatch) failure(r *result) *request.Failure {
	f := &request.Failure{Step: r.reason, Peer: d.chosen.Node, Title: "no answer", Outcome: r.outcome}
	if r.err != nil {
		f.Detail = r.err.Error()
	}
	if d.ran {
		f.Outcome = request.Unknown
	}
	switch {
	case f.Outcome == request.NotRun:
		f.Status, f.Title = http.StatusServiceUnavailable, "no target takes the request"
		f.RetryAfter = max(d.retryAfter, r.retryAfter)
	case time.Now().After(d.order.work.Deadline):
		f.Status, f.Title = http.StatusGatewayTimeout, "no answer in time"
	default:
		f.Status = http.StatusBadGateway
	}
	return f
}

// candidates returns the targets of a service that may be asked, with the one
// beside this node.
func (n *Node) candidates(service string, table *routeState, now time.Time) []fleet.Candidate {
	found := n.fleet.Candidates(service, now)
	state := n.guard.state(now)
	if state.Accepting && state.Service == service && !n.stopping.Load() {
		found = append(found, n.ownCandidate(&state))
	}
	kept := found[:0]
	for _, c := range found {
		if !table.isOut(c.DataCentre) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (n *Node) ownCandidate(state *gate.State) fleet.Candidate {
	return fleet.Candidate{
		Node: n.settings().Name, Incarnation: n.peers.incarnation, Instance: state.Instance,
		DataCentre: n.settings().DataCentre, Slots: state.Slots,
		Running: state.Running, Waiting: state.Waiting, Slowdown: state.Slowdown, ColdRemaining: state.ColdRemaining,
		FailurePercent: percent(state.FailureRate),
	}
}

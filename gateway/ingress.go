package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/platform"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

const (
	// defaultTimeout stands in where neither caller nor route sets one.
	defaultTimeout = 30 * time.Second
	// unconfiguredRetryAfter is when to come back to a node without configuration,
	// about the time that it takes to fetch one.
	unconfiguredRetryAfter = 250 * time.Millisecond
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout bound callers while no configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// callerLimits returns the bounds for callers in force.
func (n *Node) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	config := n.config.snapshot()
	if config.routes == nil {
		return limits
	}
	configured := config.routes.Limits()
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = configured.HeaderBytes
	}
	if configured.BodyBytes > 0 {
		limits.BodyBytes = configured.BodyBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// ingress answers one request of a caller.
func (n *Node) ingress(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	config := n.config.snapshot()
	if n.refusing.Load() {
		n.events.refusedStopping(id)
		return n.fail(id, &request.Failure{
			Status: http.StatusServiceUnavailable, Title: "the node is stopping",
			Outcome: request.NotRun, Step: "ingress", RetryAfter: stoppingRetryAfter,
		})
	}
	if config.routes == nil {
		return n.fail(id, &request.Failure{
			Status: http.StatusServiceUnavailable, Title: "no configuration yet",
			Outcome: request.NotRun, Step: "route", RetryAfter: unconfiguredRetryAfter,
		})
	}
	rule := config.routes.Route(r.Host, r.Path)
	if rule == nil {
		n.events.noRoute(id, r, config.number())
		return n.fail(id, &request.Failure{
			Status: http.StatusNotFound, Title: "no route", Detail: r.Host + r.Path,
			Outcome: request.NotRun, Step: "route",
		})
	}
	if !rule.Idempotent && !awaitTurn(ctx, r.Turn) {
		return n.fail(id, callerLeft())
	}
	req := n.newTargetRequest(id, r, rule)
	d := &dispatch{node: n, request: req, rule: rule, config: config, started: r.Arrived}
	res := d.run(ctx)
	n.events.requestEnded(d, &res, time.Now())
	if res.answer != nil {
		return &pipeline.Response{Status: res.answer.Status, Header: res.answer.Header, Body: res.answer.Body}
	}
	return n.fail(id, d.failure(&res))
}

// awaitTurn waits until the requests before this one are answered. If one of
// those answers closes the connection, this one must not have run.
func awaitTurn(ctx context.Context, turn <-chan struct{}) bool {
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return false
	}
}

func callerLeft() *request.Failure {
	return &request.Failure{Status: http.StatusBadGateway, Title: "the caller has left", Outcome: request.NotRun, Step: "ingress"}
}

// hopByHop are headers of a single connection, which are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	request.HeaderHop, request.HeaderService, request.HeaderLoad, request.HeaderOutcome, headerOrder, headerReason,
}

// removeHopByHop removes headers of a single connection, and those that the
// Connection header names.
func removeHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// newTargetRequest puts a caller's request into an order.
func (n *Node) newTargetRequest(id string, r *pipeline.Request, rule *version.Rule) *targetRequest {
	timeout := defaultTimeout
	if rule.Timeout > 0 {
		timeout = rule.Timeout
	}
	requested, err := platform.ParseMillis(r.Header.Get(platform.HeaderTimeout))
	if err != nil {
		n.events.badMessage("timeout", r.Peer, err)
	}
	if requested > 0 {
		timeout = min(timeout, requested)
	}
	objective := rule.Objective
	if objective <= 0 {
		objective = timeout
	}
	removeHopByHop(r.Header)
	return &targetRequest{
		message:   exchange.Request{Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body, ID: id},
		objective: objective,
		admission: gate.Request{
			ID:            id,
			Kind:          rule.Name,
			Caller:        n.settings().Service,
			Priority:      rule.Rank,
			Due:           r.Arrived.Add(min(objective, timeout)),
			Deadline:      r.Arrived.Add(timeout),
			NonIdempotent: !rule.Idempotent,
			CausedByRetry: n.localTarget.causedByRetry(),
		},
	}
}

// fail makes the answer to a request that no target answered.
func (n *Node) fail(id string, f *request.Failure) *pipeline.Response {
	header := http.Header{}
	header.Set("Content-Type", request.ContentTypeProblem)
	if id != "" {
		header.Set(platform.HeaderRequestID, id)
	}
	if f.RetryAfter > 0 {
		header.Set("Retry-After", platform.FormatSeconds(f.RetryAfter))
	}
	body, err := json.Marshal(f)
	if err != nil {
		n.events.badMessage("problem", id, err)
	}
	return &pipeline.Response{Status: f.Status, Header: header, Body: body}
}

// reject makes the answer to a request that can't be read.
func (n *Node) reject(status int, reason string) *pipeline.Response {
	n.events.rejected(status, reason)
	return n.fail("", &request.Failure{Status: status, Title: reason, Outcome: request.NotRun, Step: "read"})
}

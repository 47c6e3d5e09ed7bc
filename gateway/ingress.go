package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/platform"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

const (
	// defaultTimeout is the timeout of requests if neither the caller nor the
	// route sets one.
	defaultTimeout = 30 * time.Second
	// unconfiguredRetryAfter is the Retry-After of a node that has no
	// configuration yet. Fetching one takes about that long.
	unconfiguredRetryAfter = 250 * time.Millisecond
	// outdatedRetryAfter is the Retry-After of a node that knows of a newer
	// configuration than its own. Most fetches take about that long.
	outdatedRetryAfter = 200 * time.Millisecond
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout are the limits for callers where the configuration
	// sets none.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// callerLimits returns the current limits for callers.
func (n *Node) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{
		MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	config := n.config.snapshot()
	if config.routes == nil {
		return limits
	}
	configured := config.routes.Limits()
	if configured.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = configured.MaxHeaderBytes
	}
	if configured.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = configured.MaxBodyBytes
	}
	if configured.ReadHeaderTimeout > 0 {
		limits.HeaderTimeout = configured.ReadHeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// ingress handles one request of a caller.
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
	if n.isOverdue(config, time.Now()) {
		n.events.configOverdue(id, config, n.configLag.newestKnown())
		return n.fail(id, outdated("route"))
	}
	rule := config.routes.Route(r.Host, r.Path)
	if rule == nil {
		return n.noRoute(id, r, config)
	}
	caller, rejection := n.identify(id, r, rule, config)
	if rejection != nil {
		return rejection
	}
	fingerprint := fingerprintOf(r, n.settings().Service)
	if failure := n.crashes.quarantined(id, fingerprint); failure != nil {
		return n.fail(id, failure)
	}
	if !rule.Idempotent && !awaitPreceding(ctx, r.PrecedingAnswered) {
		return n.fail(id, callerLeft())
	}
	timeout := n.timeoutOf(r, rule)
	if failure := n.quotas.acquire(ctx, id, caller, config, r.ArrivedAt.Add(timeout)); failure != nil {
		return n.fail(id, failure)
	}
	req := n.newTargetRequest(id, r, rule, timeout)
	req.admission.Fingerprint = fingerprint
	req.setCaller(caller)
	d := &dispatch{node: n, request: req, rule: rule, config: config, started: r.ArrivedAt}
	if n.crashes.isSuspect(fingerprint) {
		d.brokenConnections = 1
	}
	res := d.run(ctx)
	if d.sends == 0 {
		n.quotas.release(caller)
	}
	n.events.requestEnded(d, &res, time.Now())
	if res.response != nil {
		return &pipeline.Response{Status: res.response.Status, Header: res.response.Header, Body: res.response.Body}
	}
	return n.fail(id, d.failure(&res))
}

// noRoute returns the response to a request that matches no route of the active
// configuration.
func (n *Node) noRoute(id string, r *pipeline.Request, config *configSnapshot) *pipeline.Response {
	now := time.Now()
	n.events.noRoute(id, r, config, n.configLag.newestKnown(), now)
	if n.configLag.outdated(config.number(), now) {
		return n.fail(id, outdated("route"))
	}
	return n.fail(id, &request.Failure{
		Status: http.StatusNotFound, Title: "no route", Detail: r.Host + r.Path,
		Outcome: request.NotRun, Step: "route",
	})
}

// isOverdue reports whether the active configuration may no longer be used: a newer one that
// peers in reach have should have taken its place, and may treat any request in another way.
// If no peer in reach has it, there is no node that could do better, and this one goes on.
func (n *Node) isOverdue(config *configSnapshot, now time.Time) bool {
	return n.configLag.overdue(config.number(), n.settings().Limits.maxOutdated(), now) && n.fleet.HasConfigAbove(config.number(), now)
}

// outdated returns the failure of a request for which a newer configuration than the active one
// may decide otherwise.
func outdated(step string) *request.Failure {
	return &request.Failure{
		Status: http.StatusServiceUnavailable, Title: "the configuration is outdated",
		Outcome: request.NotRun, Step: step, RetryAfter: outdatedRetryAfter,
	}
}

// quarantinedFailure returns the failure of a quarantined request. Its status is not
// 4xx, since a request that is in flight at two crashes by chance is quarantined too.
func quarantinedFailure(remaining time.Duration) *request.Failure {
	return &request.Failure{
		Status: http.StatusServiceUnavailable, Title: "request is quarantined",
		Detail:  "targets crashed while they ran this request",
		Outcome: request.NotRun, Step: string(gate.RefusedQuarantined), RetryAfter: remaining,
	}
}

// awaitPreceding waits until the earlier requests on the connection are answered.
// It returns false if the context ends first. A non-idempotent request has to
// wait, since it must not have run if an earlier response closes the connection.
func awaitPreceding(ctx context.Context, precedingAnswered <-chan struct{}) bool {
	select {
	case <-precedingAnswered:
		return true
	case <-ctx.Done():
		return false
	}
}

// callerLeft returns the failure of a request whose caller closed the
// connection.
func callerLeft() *request.Failure {
	return &request.Failure{Status: http.StatusBadGateway, Title: "the caller has left", Outcome: request.NotRun, Step: "ingress"}
}

// errCallerTimeout is logged in place of the parser's error, which quotes what the caller sent.
var errCallerTimeout = errors.New("want a non-negative number of milliseconds, at most 24 hours")

// timeoutOf returns the timeout of a request, the shorter one of the route and the caller.
func (n *Node) timeoutOf(r *pipeline.Request, rule *version.RouteRule) time.Duration {
	timeout := defaultTimeout
	if rule.Timeout > 0 {
		timeout = rule.Timeout
	}
	requested, err := platform.ParseMillis(r.Header.Get(platform.HeaderTimeout))
	if err != nil {
		n.events.badMessage("timeout", r.RemoteAddr, errCallerTimeout)
	}
	if requested > 0 {
		timeout = min(timeout, requested)
	}
	return timeout
}

// newTargetRequest converts a caller's request.
func (n *Node) newTargetRequest(id string, r *pipeline.Request, rule *version.RouteRule, timeout time.Duration) *targetRequest {
	objective := rule.LatencyObjective
	if objective <= 0 {
		objective = timeout
	}
	cleanRequestHeader(r.Header, id)
	return &targetRequest{
		message:   exchange.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: r.Header, Body: r.Body, ID: id},
		objective: objective,
		admission: gate.Request{
			ID:            id,
			Kind:          rule.Name,
			Caller:        n.settings().Service,
			Priority:      rule.Priority,
			Due:           r.ArrivedAt.Add(min(objective, timeout)),
			Deadline:      r.ArrivedAt.Add(timeout),
			NonIdempotent: !rule.Idempotent,
			CausedByRetry: n.localTarget.causedByRetry(),
		},
	}
}

// fail returns a problem document as the response to a request for which there is
// no response of a target.
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

// reject returns the response to a request that can't be parsed or that exceeds a
// limit.
func (n *Node) reject(status int, reason string) *pipeline.Response {
	n.events.rejected(status, reason)
	config := n.config.snapshot()
	if exceedsLimit(status) && (config.routes == nil || n.configLag.outdated(config.number(), time.Now())) {
		return n.fail("", outdated("read"))
	}
	return n.fail("", &request.Failure{Status: status, Title: reason, Outcome: request.NotRun, Step: "read"})
}

// exceedsLimit reports whether a status rejects a request because of a limit that the
// configuration sets.
func exceedsLimit(status int) bool {
	return status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge
}

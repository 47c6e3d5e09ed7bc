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
	// unconfiguredAfter is when to come back to a node without configuration,
	// about the time that it takes to fetch one.
	unconfiguredAfter = 250 * time.Millisecond
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
		MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	table := n.config.table()
	if table.routes == nil {
		return limits
	}
	stated := table.routes.Limits()
	if stated.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = stated.MaxHeaderBytes
	}
	if stated.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = stated.MaxBodyBytes
	}
	if stated.ReadHeaderTimeout > 0 {
		limits.HeaderTimeout = stated.ReadHeaderTimeout
	}
	if stated.IdleTimeout > 0 {
		limits.IdleTimeout = stated.IdleTimeout
	}
	return limits
}

// ingress answers one request of a caller.
func (n *Node) ingress(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	table := n.config.table()
	if n.closing.Load() {
		n.events.refusedStopping(id)
		return n.fail(id, &request.Failure{
			Status: http.StatusServiceUnavailable, Title: "the node is stopping",
			Outcome: request.NotRun, Step: "ingress", RetryAfter: stoppedRetryAfter,
		})
	}
	if table.routes == nil {
		return n.fail(id, &request.Failure{
			Status: http.StatusServiceUnavailable, Title: "no configuration yet",
			Outcome: request.NotRun, Step: "route", RetryAfter: unconfiguredAfter,
		})
	}
	rule := table.routes.Route(r.Host, r.Path)
	if rule == nil {
		n.events.noRoute(id, r, table.number())
		return n.fail(id, &request.Failure{
			Status: http.StatusNotFound, Title: "no route", Detail: r.Host + r.Path,
			Outcome: request.NotRun, Step: "route",
		})
	}
	if !rule.Idempotent && !awaitTurn(ctx, r.PrecedingAnswered) {
		return n.fail(id, callerLeft())
	}
	o := n.newOrder(id, r, rule)
	run := &dispatch{node: n, order: o, rule: rule, table: table, started: r.ArrivedAt}
	end := run.do(ctx)
	n.events.requestEnded(run, &end, time.Now())
	if end.answer != nil {
		return &pipeline.Response{Status: end.answer.Status, Header: end.answer.Header, Body: end.answer.Body}
	}
	return n.fail(id, run.failure(&end))
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

// newOrder puts a caller's request into an order.
func (n *Node) newOrder(id string, r *pipeline.Request, rule *version.RouteRule) *order {
	timeout := defaultTimeout
	if rule.Timeout > 0 {
		timeout = rule.Timeout
	}
	asked, err := platform.ParseMillis(r.Header.Get(platform.HeaderTimeout))
	if err != nil {
		n.events.badMessage("timeout", r.RemoteAddr, err)
	}
	if asked > 0 {
		timeout = min(timeout, asked)
	}
	objective := rule.LatencyObjective
	if objective <= 0 {
		objective = timeout
	}
	removeHopByHop(r.Header)
	return &order{
		message:   exchange.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: r.Header, Body: r.Body, ID: id},
		objective: objective,
		work: gate.Request{
			ID:            id,
			Kind:          rule.Name,
			Caller:        n.settings().Service,
			Priority:      rule.Priority,
			Due:           r.ArrivedAt.Add(min(objective, timeout)),
			Deadline:      r.ArrivedAt.Add(timeout),
			NonIdempotent: !rule.Idempotent,
			CausedByRetry: n.guard.inherits(),
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

package node

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
	"verbenatrestle/version"
)

// configRetryAfter is the Retry-After of a request at a node that doesn't have
// the newest configuration yet.
const configRetryAfter = time.Second

// ingress serves the requests of callers: it checks and reads them, applies the
// limits and has them run.
type ingress struct {
	self     string
	limits   Limits
	snapshot func() *version.Snapshot
	// outdated reports whether a peer has a newer configuration than this node.
	outdated func() bool
	// overdue reports whether it should have got that configuration by now.
	overdue func() bool
	// localService returns the service of the local target, which sends its calls
	// through this node. Requests of external callers count as its calls too.
	localService func() version.ServiceID
	limiter      *request.Limiter
	quarantine   *quarantine.Table
	// idempotent runs the requests of idempotent routes, nonIdempotent all others.
	idempotent    func(ctx context.Context, req *bufferedRequest) result
	nonIdempotent func(ctx context.Context, req *bufferedRequest) result
	metrics       *requestMetrics
	inFlight      atomic.Int64
}

// ServeHTTP implements http.Handler.
func (g *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	g.metrics.requests.Inc(1)
	defer g.metrics.latency.UpdateSince(start)
	defer g.inFlight.Add(-1)
	// A failure carries the ID too, so that a target that passes on the failure of its own
	// call is not taken to answer the request that it runs.
	id := uuid.NewString()
	w.Header().Set(request.HeaderRequestID, id)
	if g.inFlight.Add(1) > int64(g.limits.MaxCallerInFlight) {
		g.fail(w, r, withRetryAfter(g.refusal(http.StatusServiceUnavailable, "accept", "node is full", nil), time.Second))
		return
	}
	req, failure := g.readRequest(w, r, id, start)
	if failure != nil {
		g.fail(w, r, failure)
		return
	}
	release, failure := g.acquire(req, start)
	if failure != nil {
		g.fail(w, r, failure)
		return
	}
	defer release()
	g.serve(w, r, req)
}

// serve runs the request and writes the response or failure.
func (g *ingress) serve(w http.ResponseWriter, r *http.Request, req *bufferedRequest) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Time())
	defer cancel()
	run := g.idempotent
	if !req.route.Idempotent {
		run = g.nonIdempotent
	}
	res := run(ctx, req)
	if res.failure != nil {
		g.fail(w, r, res.failure)
		return
	}
	res.response.writeTo(w)
}

// fail counts the failure by its outcome and writes it.
func (g *ingress) fail(w http.ResponseWriter, r *http.Request, f *request.Failure) {
	switch {
	case r.Context().Err() != nil:
		g.metrics.cancelled.Inc(1)
	case f.Outcome == request.NotRun:
		g.metrics.notRun.Inc(1)
	default:
		g.metrics.unknown.Inc(1)
	}
	f.Write(w)
}

// refusal returns the failure of a request that this node refuses before it
// sends it to an owner or target.
func (g *ingress) refusal(status int, step, title string, err error) *request.Failure {
	return newFailure(status, request.NotRun, step, g.self, title, err)
}

// readRequest routes the request, which gets the ID, and reads its body completely.
func (g *ingress) readRequest(w http.ResponseWriter, r *http.Request, id string, now time.Time) (*bufferedRequest, *request.Failure) {
	snapshot := g.snapshot()
	service, route, err := snapshot.Route(r.Host, r.Method, r.URL.Path)
	if err != nil && snapshot.Version() == 0 {
		f := g.refusal(http.StatusServiceUnavailable, "route", "no configuration yet", err)
		return nil, withRetryAfter(f, configRetryAfter)
	}
	if err != nil && g.outdated() {
		return nil, g.refuseOutdated("route", err)
	}
	if g.overdue() {
		return nil, g.refuseOutdated("route", errOverdue)
	}
	if err != nil {
		return nil, g.refusal(routeStatus(w, err), "route", "no route", err)
	}
	key, failure := g.idempotencyKey(route, r.Header)
	if failure != nil && g.outdated() {
		return nil, g.refuseOutdated("read key", errors.Errorf("route %s wants the header %s", route.Name, request.HeaderIdempotencyKey))
	}
	if failure != nil {
		return nil, failure
	}
	deadline, err := request.NewDeadline(now, r.Header.Get(request.HeaderTimeout), route.Timeout)
	if err != nil {
		return nil, g.refusal(http.StatusBadRequest, "read timeout", "bad timeout", err)
	}
	body, failure := g.readBody(w, r, route)
	if failure != nil {
		return nil, failure
	}
	req := &bufferedRequest{
		id:        id,
		service:   service,
		route:     route,
		config:    snapshot.Version(),
		caller:    g.localService(),
		method:    r.Method,
		uri:       pathAndQuery(r),
		header:    endToEnd(r.Header),
		body:      body,
		key:       key,
		deadline:  deadline,
		waitToken: &waitToken{},
	}
	req.header.Set(headerForwardedHost, r.Host)
	req.fingerprint = request.NewFingerprint(req.method, string(service.ID)+req.uri, body)
	return req, nil
}

// errOverdue means that this node has not got a configuration in time.
var errOverdue = errors.New("peers have had a newer configuration for too long")

// refuseOutdated returns the failure of a request for which the newer configuration that a
// peer has may decide otherwise than the active one.
func (g *ingress) refuseOutdated(step string, err error) *request.Failure {
	f := g.refusal(http.StatusServiceUnavailable, step, "the configuration is outdated", err)
	return withRetryAfter(f, configRetryAfter)
}

// routeStatus returns the HTTP status of a routing error. For a method that is
// not allowed, it sets the Allow header as well.
func routeStatus(w http.ResponseWriter, err error) int {
	var method *version.MethodNotAllowedError
	if errors.As(err, &method) {
		for _, m := range method.Allowed {
			w.Header().Add("Allow", m)
		}
		return http.StatusMethodNotAllowed
	}
	var host *version.UnknownHostError
	if errors.As(err, &host) {
		return http.StatusMisdirectedRequest
	}
	return http.StatusNotFound
}

// idempotencyKey returns the key of a request to a non-idempotent route, and ""
// for an idempotent route, which may require one for the target's use. If the
// request has no key and the route requires none, it generates one, so that the nodes
// can retry safely.
func (g *ingress) idempotencyKey(route *version.Route, h http.Header) (string, *request.Failure) {
	if route.Idempotent && (!route.IdempotencyKeyRequired || h.Get(request.HeaderIdempotencyKey) != "") {
		return "", nil
	}
	keys := slices.Compact(slices.Clone(h.Values(request.HeaderIdempotencyKey)))
	if len(keys) > 1 {
		return "", g.refusal(http.StatusBadRequest, "read key", "several idempotency keys",
			errors.Errorf("the header %s has %d values, and an operation has one", request.HeaderIdempotencyKey, len(keys)))
	}
	if len(keys) == 1 && keys[0] != "" {
		return keys[0], nil
	}
	if route.IdempotencyKeyRequired {
		return "", g.refusal(http.StatusBadRequest, "read key", "no idempotency key",
			errors.Errorf("route %s wants the header %s", route.Name, request.HeaderIdempotencyKey))
	}
	key, err := uuid.NewV7()
	if err != nil {
		return "", g.refusal(http.StatusInternalServerError, "make key", "no random numbers", err)
	}
	return key.String(), nil
}

// readBody reads the whole body, which must not exceed the limits of the node
// and of the route.
func (g *ingress) readBody(w http.ResponseWriter, r *http.Request, route *version.Route) ([]byte, *request.Failure) {
	limit := g.limits.MaxBodyBytes
	if route.MaxBodyBytes > 0 {
		limit = min(limit, route.MaxBodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) && g.outdated() {
		return nil, g.refuseOutdated("read body", err)
	}
	if errors.As(err, &tooLarge) {
		return nil, g.refusal(http.StatusRequestEntityTooLarge, "read body", "body too large", err)
	}
	if err != nil {
		return nil, g.refusal(http.StatusBadRequest, "read body", "body broke off", err)
	}
	return body, nil
}

// acquire checks the quarantine and acquires the limits of the organisation and
// the service. The returned function releases the limits and must be called when
// the request has finished.
func (g *ingress) acquire(req *bufferedRequest, now time.Time) (func(), *request.Failure) {
	verdict, remaining := g.quarantine.Check(req.fingerprint, now)
	if verdict == quarantine.Quarantined {
		f := g.refusal(http.StatusUnprocessableEntity, "quarantine", "request is quarantined",
			errors.New("targets crashed while they ran this request"))
		return nil, withRetryAfter(f, remaining)
	}
	req.suspect = verdict == quarantine.Suspect
	organisation := request.ShareKey{Organisation: req.service.ID.Organisation()}
	service := request.ShareKey{Organisation: organisation.Organisation, Service: req.service.ID.Name()}
	if refusal := g.limiter.Acquire(organisation, now); refusal != nil {
		return nil, g.limitExceeded(refusal)
	}
	if refusal := g.limiter.Acquire(service, now); refusal != nil {
		g.limiter.Release(organisation)
		return nil, g.limitExceeded(refusal)
	}
	return func() {
		g.limiter.Release(service)
		g.limiter.Release(organisation)
	}, nil
}

// limitExceeded returns the failure of a request that exceeds a limit.
func (g *ingress) limitExceeded(r *request.LimitError) *request.Failure {
	f := g.refusal(http.StatusTooManyRequests, "limit", "over the limit", r)
	return withRetryAfter(f, max(r.RetryAfter, time.Second))
}

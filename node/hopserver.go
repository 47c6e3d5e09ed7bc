package node

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// hopServer answers requests of other nodes.
type hopServer struct {
	self     string
	peerKey  string
	snapshot func() *version.Snapshot
	target   requestServer
	owner    requestServer
	versions http.Handler
	// measurement bounds what the load on answers takes.
	measurement *measurementBudget
}

// requestServer serves an order that came over a hop or from this node.
type requestServer interface {
	serve(ctx context.Context, req *bufferedRequest) result
}

// ServeHTTP implements http.Handler.
func (s *hopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(request.HeaderRequestID, r.Header.Get(request.HeaderRequestID))
	if !secretsEqual(r.Header.Get(headerHopKey), s.peerKey) {
		writeHopFailure(w, newFailure(http.StatusUnauthorized, request.NotRun, "hop", s.self, "wrong peer key", nil))
		return
	}
	if r.Header.Get(request.HeaderHop) == hopVersion {
		s.versions.ServeHTTP(w, r)
		return
	}
	o, failure := s.readRequest(r)
	if failure != nil {
		writeHopFailure(w, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), o.deadline.Time())
	defer cancel()
	res := s.serverFor(r.Header.Get(request.HeaderHop)).serve(ctx, o)
	s.writeHopResult(w, res)
}

// secretsEqual compares secrets in constant time.
func secretsEqual(got, want string) bool {
	return subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// serverFor returns what serves the hop.
func (s *hopServer) serverFor(hop string) requestServer {
	if hop == request.HopOwner {
		return s.owner
	}
	return s.target
}

// writeHopResult sends an answer or failure with the load of the guard.
func (s *hopServer) writeHopResult(w http.ResponseWriter, res result) {
	if res.hasSample {
		s.measurement.piggyback(w.Header(), res.sample)
	}
	if res.owner != "" {
		w.Header().Set(headerOwner, res.owner)
	}
	if res.failure != nil {
		writeHopFailure(w, res.failure)
		return
	}
	res.response.writeTo(w)
}

// stepReadHop is the step at which a node refuses what it can't read, or what
// its configuration doesn't know.
const stepReadHop = "read hop"

// readRequest reads the order that another node sent. A service or route that
// this node doesn't know is one that it doesn't know yet, since the sender
// found it in its own configuration: the refusal is a passing one.
func (s *hopServer) readRequest(r *http.Request) (*bufferedRequest, *request.Failure) {
	refuse := func(status int, title string, err error) *request.Failure {
		return newFailure(status, request.NotRun, stepReadHop, s.self, title, err)
	}
	h := r.Header
	service := s.snapshot().Service(version.ServiceID(h.Get(request.HeaderService)))
	if service == nil {
		return nil, withRetryAfter(refuse(http.StatusServiceUnavailable, "service unknown",
			errors.Errorf("no service %q in version %d", h.Get(request.HeaderService), s.snapshot().Version())), configRetryAfter)
	}
	route := service.RouteByName(h.Get(request.HeaderRoute))
	if route == nil {
		return nil, withRetryAfter(refuse(http.StatusServiceUnavailable, "route unknown",
			errors.Errorf("service %s has no route %q", service.ID, h.Get(request.HeaderRoute))), configRetryAfter)
	}
	deadline, err := request.NewDeadline(time.Now(), h.Get(request.HeaderTimeout), request.MaxTimeout)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "bad deadline", err)
	}
	fingerprint, err := strconv.ParseUint(h.Get(headerFingerprint), 16, 64)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "bad fingerprint", err)
	}
	expiry, err := parseExpiry(h.Get(request.HeaderExpiry))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "bad expiry", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "body broke off", err)
	}
	return &bufferedRequest{
		id:          h.Get(request.HeaderRequestID),
		service:     service,
		route:       route,
		caller:      version.ServiceID(h.Get(request.HeaderCaller)),
		method:      r.Method,
		uri:         r.URL.RequestURI(),
		header:      endToEnd(h),
		body:        body,
		key:         h.Get(request.HeaderIdempotencyKey),
		fingerprint: request.Fingerprint(fingerprint),
		suspect:     h.Get(request.HeaderSuspect) != "",
		deadline:    deadline,
		expiry:      expiry,
		waitToken:   receivedWaitToken(h),
	}, nil
}

// parseExpiry reads request.HeaderExpiry. No header means no expiry.
func parseExpiry(header string) (time.Time, error) {
	if header == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "parse expiry")
	}
	return time.UnixMilli(ms), nil
}

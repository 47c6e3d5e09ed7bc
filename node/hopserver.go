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

// hopServer serves the requests of other nodes, which must have the peer key.
type hopServer struct {
	self     string
	peerKey  string
	snapshot func() *version.Snapshot
	// target serves hops to the local target, owner serves hops to the owner of a
	// key, and versions serves requests for this node's configuration version.
	target   requestServer
	owner    requestServer
	versions http.Handler
	// measurement bounds the load data on responses.
	measurement *measurementBudget
}

// requestServer runs a request that came over a hop or from this node.
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
	req, failure := s.readRequest(r)
	if failure != nil {
		writeHopFailure(w, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Time())
	defer cancel()
	res := s.serverFor(r.Header.Get(request.HeaderHop)).serve(ctx, req)
	s.writeHopResult(w, res)
}

// secretsEqual compares two secrets. The time that it takes does not depend on
// their contents.
func secretsEqual(got, want string) bool {
	return subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// serverFor returns the server of a hop.
func (s *hopServer) serverFor(hop string) requestServer {
	if hop == request.HopOwner {
		return s.owner
	}
	return s.target
}

// writeHopResult writes the response or failure, with the target's load if the
// measurement budget allows it.
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

// stepReadHop is the step of failures to read a request of another node. This
// includes a request whose service or route is not in this node's configuration.
const stepReadHop = "read hop"

// readRequest reads the request that another node sent. If its service or route
// is unknown or differs, the two nodes have different configurations, so the
// failure is temporary.
func (s *hopServer) readRequest(r *http.Request) (*bufferedRequest, *request.Failure) {
	refuse := func(status int, title string, err error) *request.Failure {
		return newFailure(status, request.NotRun, stepReadHop, s.self, title, err)
	}
	h := r.Header
	snapshot := s.snapshot()
	config, err := parseConfig(h.Get(headerConfig))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "bad version", err)
	}
	service, route, err := confirmRoute(snapshot, config, r)
	if err != nil {
		return nil, withRetryAfter(refuse(http.StatusServiceUnavailable, "not in the configuration", err), configRetryAfter)
	}
	if config > 0 {
		config = max(config, snapshot.Version())
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
		config:      config,
		caller:      version.ServiceID(h.Get(request.HeaderCaller)),
		method:      r.Method,
		uri:         pathAndQuery(r),
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

// confirmRoute returns the service and the route that the sender named. It returns an error
// if this node's configuration lacks them, differs in whether the route is idempotent, or is
// newer than the sender's and routes the request otherwise.
func confirmRoute(snapshot *version.Snapshot, config uint64, r *http.Request) (*version.Service, *version.Route, error) {
	id, name := r.Header.Get(request.HeaderService), r.Header.Get(request.HeaderRoute)
	service := snapshot.Service(version.ServiceID(id))
	if service == nil {
		return nil, nil, errors.Errorf("no service %q in version %d", id, snapshot.Version())
	}
	route := service.RouteByName(name)
	if route == nil {
		return nil, nil, errors.Errorf("service %s has no route %q in version %d", id, name, snapshot.Version())
	}
	if !sameIdempotence(r.Header, route) {
		return nil, nil, errors.Errorf("the sender and version %d differ in whether route %s is idempotent", snapshot.Version(), name)
	}
	if config == 0 || config >= snapshot.Version() {
		return service, route, nil
	}
	own, ownRoute, err := snapshot.Route(r.Header.Get(headerForwardedHost), r.Method, r.URL.Path)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "version %d of the sender is older than %d", config, snapshot.Version())
	}
	if own.ID != service.ID || ownRoute.Name != name {
		return nil, nil, errors.Errorf("version %d of the sender routes to %s %s, version %d to %s %s",
			config, id, name, snapshot.Version(), own.ID, ownRoute.Name)
	}
	return service, route, nil
}

// parseConfig parses the value of headerConfig. An empty value means an unknown version.
func parseConfig(header string) (uint64, error) {
	if header == "" {
		return 0, nil
	}
	config, err := strconv.ParseUint(header, 10, 64)
	return config, errors.Wrap(err, "parse version")
}

// sameIdempotence reports whether the sender's configuration agrees on whether the route is
// idempotent, which decides on retries here. Nodes of earlier builds do not send theirs.
func sameIdempotence(h http.Header, route *version.Route) bool {
	sent := h.Get(headerIdempotent)
	return sent == "" || sent == strconv.FormatBool(route.Idempotent)
}

// parseExpiry parses the value of request.HeaderExpiry, in Unix milliseconds. An
// empty value means no expiry.
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

package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// bufferedRequest is one request that the node has read whole, with what it knows of it.
type bufferedRequest struct {
	// id identifies the request on every hop.
	id string
	// service and route are what the request is for.
	service *version.Service
	route   *version.Route
	// caller is whose share of a full target the request uses.
	caller version.ServiceID
	// method and uri are as the caller sent them.
	method string
	uri    string
	// header holds the caller's headers that go to the target.
	header http.Header
	// body is the whole body.
	body []byte
	// key is the idempotency key, empty on idempotent routes.
	key string
	// fingerprint identifies requests that are alike, for quarantine.
	fingerprint request.Fingerprint
	// suspect says that the request was in flight when a target crashed.
	suspect bool
	// deadline is when the caller stops waiting.
	deadline request.Deadline
	// expiry is when the order must not reach a target any more. Zero: never.
	expiry time.Time
	// waitToken lets one attempt wait at a full guard. Nil lets none.
	waitToken *waitToken
}

// httpRequest returns the order as an HTTP request to base, a URL without
// path. It fails when the deadline is too near to send it on.
func (req *bufferedRequest) httpRequest(ctx context.Context, base string, now time.Time) (*http.Request, error) {
	left, ok := req.deadline.NextHop(now)
	if !ok {
		return nil, errDeadline
	}
	r, err := http.NewRequestWithContext(ctx, req.method, base+req.uri, req.newBody())
	if err != nil {
		return nil, errors.Wrapf(err, "make request for %s", base)
	}
	r.ContentLength = int64(len(req.body))
	r.Header = req.header.Clone()
	r.Header.Set(request.HeaderRequestID, req.id)
	r.Header.Set(request.HeaderTimeout, left)
	if req.key != "" {
		r.Header.Set(request.HeaderIdempotencyKey, req.key)
	}
	return r, nil
}

// errDeadline says that there is no time left to send a request on.
var errDeadline = errors.New("no time left before the deadline")

// newBody returns a reader of the body. The HTTP transport sends a request
// again by itself if it looks idempotent to it, which an idempotency key alone
// makes it do. It can't when it does not know the type of the reader.
func (req *bufferedRequest) newBody() io.Reader {
	reader := bytes.NewReader(req.body)
	if req.route.Idempotent {
		return reader
	}
	return io.NopCloser(reader)
}

// hopRequest is httpRequest with the headers of a hop between nodes.
func (req *bufferedRequest) hopRequest(ctx context.Context, base, hop string, now time.Time) (*http.Request, error) {
	r, err := req.httpRequest(ctx, base, now)
	if err != nil {
		return nil, err
	}
	h := r.Header
	h.Set(request.HeaderHop, hop)
	h.Set(request.HeaderService, string(req.service.ID))
	h.Set(request.HeaderRoute, req.route.Name)
	h.Set(request.HeaderCaller, string(req.caller))
	h.Set(headerFingerprint, req.fingerprint.String())
	if req.suspect {
		h.Set(request.HeaderSuspect, "1")
	}
	if hop == request.HopGuard && req.waitToken.take() {
		h.Set(headerMayWait, "1")
	}
	if !req.expiry.IsZero() {
		h.Set(request.HeaderExpiry, strconv.FormatInt(req.expiry.UnixMilli(), 10))
	}
	return r, nil
}

// headerFingerprint carries order.fingerprint between nodes.
const headerFingerprint = "Vt-Fingerprint"

// headerHopKey carries the peer key, which proves that a node sent the hop.
const headerHopKey = "Vt-Hop-Key"

// hopHeaders are the headers that only nodes exchange. They are taken off what
// callers send and off what goes to targets.
var hopHeaders = []string{
	request.HeaderHop,
	request.HeaderService,
	request.HeaderRoute,
	request.HeaderCaller,
	request.HeaderSuspect,
	request.HeaderExpiry,
	request.HeaderLoad,
	request.HeaderOutcome,
	headerFingerprint,
	headerHopKey,
	headerMayWait,
}

// connectionHeaders belong to one connection and are never sent on.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of the headers without those of the connection and
// without those that nodes exchange.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	strip(out)
	return out
}

// strip takes off the headers of the connection and those that nodes exchange.
func strip(h http.Header) {
	for _, names := range h["Connection"] {
		for _, name := range splitList(names) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

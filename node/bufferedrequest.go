package node

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// bufferedRequest is a request whose body the node has read completely, together
// with its route, its key and its deadline.
type bufferedRequest struct {
	// id identifies the request on every hop.
	id string
	// service and route are the result of routing the request.
	service *version.Service
	route   *version.Route
	// config is the highest version of the configuration that gave this result. Zero means
	// that the sender, a node of an earlier build, did not say.
	config uint64
	// caller is the service whose share of a full target the request uses.
	caller version.ServiceID
	// method and uri, the path and query, are as the caller sent them.
	method string
	uri    string
	// header holds the caller's headers that go to the target.
	header http.Header
	// body is the whole body.
	body []byte
	// key is the idempotency key, empty on idempotent routes.
	key string
	// fingerprint is the same for requests with the same content. The quarantine
	// identifies requests by it.
	fingerprint request.Fingerprint
	// suspect is set if a target may have crashed because of the request.
	suspect bool
	// deadline is the time at which the caller stops waiting.
	deadline request.Deadline
	// expiry is the time from which the request must not be run any more. Zero
	// means that it does not expire.
	expiry time.Time
	// waitToken allows one attempt to wait at a full target. Nil allows none.
	waitToken *waitToken
}

// httpRequest returns an HTTP request to base, a URL without a path. It returns
// errDeadline if too little time remains to forward the request.
func (req *bufferedRequest) httpRequest(ctx context.Context, base string, now time.Time) (*http.Request, error) {
	remaining, ok := req.deadline.NextHop(now)
	if !ok {
		return nil, errDeadline
	}
	r, err := http.NewRequestWithContext(ctx, req.method, base, req.newBody())
	if err != nil {
		return nil, errors.Wrapf(err, "make request for %s", base)
	}
	// A parsed path or query would be written in other bytes.
	r.URL.Opaque = req.uri
	r.ContentLength = int64(len(req.body))
	r.Header = req.header.Clone()
	r.Header.Set(request.HeaderRequestID, req.id)
	r.Header.Set(request.HeaderTimeout, remaining)
	if req.key != "" {
		r.Header.Set(request.HeaderIdempotencyKey, req.key)
	}
	return r, nil
}

// pathAndQuery returns the path and query of a received request in the bytes that were
// sent, except for a request target in absolute form.
func pathAndQuery(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// errDeadline means that too little time remains to forward a request.
var errDeadline = errors.New("no time left before the deadline")

// newBody returns a reader of the body. http.Transport retries a request by
// itself if it considers it idempotent, for which the header Idempotency-Key is
// enough. It can't do so if it doesn't know the type of the reader, so for
// non-idempotent requests the type is hidden.
func (req *bufferedRequest) newBody() io.Reader {
	reader := bytes.NewReader(req.body)
	if req.route.Idempotent {
		return reader
	}
	return io.NopCloser(reader)
}

// hopRequest is like httpRequest and adds the headers of a hop between nodes. A
// hop to a target uses up the wait token and passes it on with headerMayWait.
func (req *bufferedRequest) hopRequest(ctx context.Context, base, hop string, now time.Time) (*http.Request, error) {
	r, err := req.httpRequest(ctx, base, now)
	if err != nil {
		return nil, err
	}
	h := r.Header
	h.Set(request.HeaderHop, hop)
	h.Set(request.HeaderService, string(req.service.ID))
	h.Set(request.HeaderRoute, req.route.Name)
	h.Set(headerConfig, strconv.FormatUint(req.config, 10))
	h.Set(headerIdempotent, strconv.FormatBool(req.route.Idempotent))
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

// headerConfig carries the version of the configuration by which the request was routed.
const headerConfig = "Vt-Config"

// headerForwardedHost carries the host to which the caller sent the request.
const headerForwardedHost = "X-Forwarded-Host"

// headerIdempotent carries whether the route is idempotent in the sender's configuration.
const headerIdempotent = "Vt-Idempotent"

// headerFingerprint carries the fingerprint of a request between nodes.
const headerFingerprint = "Vt-Fingerprint"

// headerHopKey carries the peer key, which authenticates the sending node.
const headerHopKey = "Vt-Hop-Key"

// reservedPrefix begins the names of all headers that only the system sets. They are
// removed from what callers and targets send, so that a new one needs no entry in a list.
const reservedPrefix = "Vt-"

// connectionHeaders are the hop-by-hop headers of HTTP, which are not forwarded.
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

// endToEnd returns a copy of the headers without the hop-by-hop headers and
// without those of the system.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	strip(out)
	return out
}

// strip removes the hop-by-hop headers, including those that the Connection
// header names, and those of the system.
func strip(h http.Header) {
	for _, names := range h["Connection"] {
		for _, name := range splitList(names) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
	maps.DeleteFunc(h, func(name string, _ []string) bool { return strings.HasPrefix(name, reservedPrefix) })
}

package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Op is an operation of the object API.
type Op int

// The operations.
const (
	OpGet Op = iota
	OpList
	OpPut
	OpDelete
	OpWatch
	opCount
)

// writes reports whether the operation changes objects.
func (o Op) writes() bool { return o == OpPut || o == OpDelete }

// Call is one call of the object API.
type Call struct {
	// Op is the operation. It tells which of the other fields count.
	Op Op
	// Key names the object of a get, put or delete.
	Key string
	// Prefix selects the objects of a list or a watch.
	Prefix string
	// PageToken continues a list behind that name.
	PageToken string
	// AllowStale lets a list show a state that is seconds old, which costs less.
	AllowStale bool
	// AfterRevision is the revision that a watch goes on from, and Wait its patience.
	AfterRevision uint64
	MaxWait       time.Duration
	// Value is what a put writes.
	Value []byte
	// IfVersion is the version that a put or delete replaces. Zero means that
	// there must be no object yet.
	IfVersion uint64
}

// HTTPRequest is a call as an HTTP request.
type HTTPRequest struct {
	// Method, Path and Query make up the request line.
	Method string
	Path   string
	Query  url.Values
	// Header holds headers of the dialect.
	Header http.Header
	// Body is the body, or nil.
	Body []byte
}

// HTTPResponse is the HTTP answer to a call.
type HTTPResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers.
	Header http.Header
	// Body is what could be read of the body, and BodyErr why not all of it.
	Body    []byte
	BodyErr error
}

// Result is what an answer says.
type Result struct {
	// Objects are the objects of a get, list or watch.
	Objects []Object
	// Version is the version of the object that was written.
	Version uint64
	// Revision is the store's revision, for a list or a watch.
	Revision uint64
	// NextPageToken continues the list, if it is not empty.
	NextPageToken string
}

// Dialect puts calls into HTTP and takes replies out of it. Decode returns
// ErrNotFound, ErrCompacted, a *ConflictError, a *RateLimitedError or an error
// made by Failure.
type Dialect interface {
	Encode(c Call) (HTTPRequest, error)
	Decode(c Call, a HTTPResponse) (Result, error)
}

// NewCallError returns the error of a call that failed for cause. MayHaveRun tells
// that the platform may have executed it.
func NewCallError(c Call, mayHaveRun bool, cause error) error {
	kind := ErrUnavailable
	if mayHaveRun && c.Op.writes() {
		kind = ErrUnknownOutcome
	}
	return &callError{kind: kind, cause: cause}
}

// native is the dialect of the product's own object API.
type native struct{}

// Encode implements Dialect.
func (native) Encode(c Call) (HTTPRequest, error) {
	switch c.Op {
	case OpGet:
		return HTTPRequest{Method: http.MethodGet, Path: objectPath(c.Key)}, nil
	case OpList:
		return HTTPRequest{Method: http.MethodGet, Path: "/v1/objects", Query: url.Values{"prefix": {c.Prefix}}}, nil
	case OpWatch:
		return HTTPRequest{Method: http.MethodGet, Path: "/v1/watch", Query: url.Values{
			"prefix":  {c.Prefix},
			"after":   {strconv.FormatUint(c.AfterRevision, 10)},
			"wait_ms": {strconv.FormatInt(c.MaxWait.Milliseconds(), 10)},
		}}, nil
	case OpDelete:
		return HTTPRequest{Method: http.MethodDelete, Path: objectPath(c.Key), Header: condition(c.IfVersion)}, nil
	case OpPut:
		return HTTPRequest{Method: http.MethodPut, Path: objectPath(c.Key), Header: condition(c.IfVersion), Body: c.Value}, nil
	}
	return HTTPRequest{}, errors.Errorf("encode call: unknown operation %d", c.Op)
}

func condition(version uint64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {formatVersion(version)}}
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

// Decode implements Dialect. A write's answer is in its status and version, so
// its body may be cut short.
func (native) Decode(c Call, a HTTPResponse) (Result, error) {
	version, versionErr := parseVersion(a.Header.Get("ETag"))
	switch {
	case a.Status == http.StatusOK && (a.BodyErr == nil || c.Op.writes()):
		return decodeNative(c, a, version, versionErr)
	case a.Status == http.StatusNotFound:
		return Result{}, ErrNotFound
	case a.Status == http.StatusTooManyRequests:
		return Result{}, &RateLimitedError{RetryAfter: retryAfter(a.Header)}
	case a.BodyErr != nil:
		return Result{}, NewCallError(c, false, a.BodyErr)
	case a.Status == http.StatusPreconditionFailed:
		return Result{}, &ConflictError{Version: version, Value: a.Body}
	}
	mayHaveRun := a.Status >= http.StatusInternalServerError && a.Status != http.StatusServiceUnavailable
	return Result{}, NewCallError(c, mayHaveRun, errors.Errorf("status %d: %s", a.Status, firstBytes(a.Body)))
}

// decodeNative reads the answer to a call that succeeded.
func decodeNative(c Call, a HTTPResponse, version uint64, versionErr error) (Result, error) {
	switch c.Op {
	case OpGet:
		if versionErr != nil {
			return Result{}, NewCallError(c, false, versionErr)
		}
		return Result{Objects: []Object{{Key: c.Key, Version: version, Value: a.Body}}}, nil
	case OpPut:
		if versionErr != nil {
			return Result{}, NewCallError(c, true, versionErr)
		}
		return Result{Version: version}, nil
	case OpDelete:
		return Result{}, nil
	}
	var list objectList
	if err := json.Unmarshal(a.Body, &list); err != nil {
		return Result{}, NewCallError(c, false, errors.Wrap(err, "decode objects"))
	}
	return Result{Objects: list.Objects, Revision: list.Revision}, nil
}

// objectList is the answer to a list or a watch.
type objectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

func formatVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseVersion(etag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	return version, errors.Wrapf(err, "parse version %q", etag)
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

func firstBytes(body []byte) string {
	const shown = 200
	if len(body) > shown {
		body = body[:shown]
	}
	return strings.TrimSpace(string(body))
}

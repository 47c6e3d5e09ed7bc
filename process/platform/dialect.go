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

// Call is a call of the object API. The operation determines which of the other
// fields are used.
type Call struct {
	// Op is the operation.
	Op Op
	// Key is the key of the object of a get, put or delete.
	Key string
	// Prefix selects the objects of a list or a watch by their keys.
	Prefix string
	// PageToken is the NextPageToken of the previous page of a list, or empty for
	// the first page.
	PageToken string
	// AllowStale allows a list to return a state that is seconds old, which costs
	// the platform less.
	AllowStale bool
	// AfterRevision is the revision after which a watch returns changes.
	AfterRevision uint64
	// MaxWait is how long a watch waits for a change.
	MaxWait time.Duration
	// Value is the value that a put writes.
	Value []byte
	// IfVersion is the version that a put or delete replaces. Zero means that the
	// object must not exist.
	IfVersion uint64
}

// HTTPRequest is a call encoded as an HTTP request.
type HTTPRequest struct {
	// Method, Path and Query make up the request line. Path is escaped and is
	// appended to Config.BaseURL.
	Method string
	Path   string
	Query  url.Values
	// Header holds the header fields that the dialect needs. Its keys are in
	// canonical form.
	Header http.Header
	// Body is the body of the request, or nil.
	Body []byte
}

// HTTPResponse is the HTTP response to a call.
type HTTPResponse struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Body is the complete body of the response, or nil if reading it failed with
	// BodyErr.
	Body    []byte
	BodyErr error
}

// MayHaveRun reports whether the platform may have executed a call with this
// response. The statuses of client errors, and 503, mean that it has not.
func (r *HTTPResponse) MayHaveRun() bool {
	return r.Status < http.StatusBadRequest ||
		r.Status >= http.StatusInternalServerError && r.Status != http.StatusServiceUnavailable
}

// Result is the decoded result of a call.
type Result struct {
	// Objects are the objects that a get, list or watch returned.
	Objects []Object
	// Version is the new version of the object that a put wrote.
	Version uint64
	// Revision is the revision of the store that a list or a watch returned.
	Revision uint64
	// NextPageToken selects the next page of a list. It is empty on the last page.
	NextPageToken string
}

// Dialect translates the calls of one variant of the object API to HTTP. The errors
// of Decode are ErrNotFound, ErrCompacted, *ConflictError, *RateLimitedError and
// those that NewCallError returns. A put over an object that does not exist is a conflict.
// The versions in calls and results are revisions of the store: the client adds and removes
// the era.
type Dialect interface {
	// Era returns the era of the store that a response states. It is zero if the
	// response does not state it. It returns an error if the era can't be read.
	Era(header http.Header) (Era, error)
	// Encode returns the HTTP request for a call.
	Encode(c Call) (HTTPRequest, error)
	// Decode returns the result of a call from the HTTP response, which may have
	// any status.
	Decode(c Call, response HTTPResponse) (Result, error)
}

// NewCallError returns the error of a call that failed because of cause. It wraps
// ErrUnknownOutcome if the call is a write and mayHaveRun is true, which means that
// the platform may have executed the call. Otherwise it wraps ErrUnavailable.
func NewCallError(c Call, mayHaveRun bool, cause error) error {
	class := ErrUnavailable
	if mayHaveRun && c.Op.writes() {
		class = ErrUnknownOutcome
	}
	return &callError{class: class, cause: cause}
}

// ParseEra returns the era in a header field, or zero if the field is empty.
func ParseEra(text string) (Era, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil || era == 0 || Era(era) > MaxEra {
		return 0, errors.Errorf("era %q: want a number from 1 to %d", text, MaxEra)
	}
	return Era(era), nil
}

// HeaderEra is the header in which responses of the product's own object API state the
// era of the store.
const HeaderEra = "Vt-Store-Era"

// nativeDialect is the dialect of the product's own object API.
type nativeDialect struct{}

// Encode implements Dialect.
func (nativeDialect) Encode(c Call) (HTTPRequest, error) {
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
		return HTTPRequest{Method: http.MethodDelete, Path: objectPath(c.Key), Header: preconditionHeader(c.IfVersion)}, nil
	case OpPut:
		return HTTPRequest{Method: http.MethodPut, Path: objectPath(c.Key), Header: preconditionHeader(c.IfVersion), Body: c.Value}, nil
	}
	return HTTPRequest{}, errors.Errorf("encode call: unknown operation %d", c.Op)
}

// Era implements Dialect.
func (nativeDialect) Era(header http.Header) (Era, error) { return ParseEra(header.Get(HeaderEra)) }

// preconditionHeader returns the header field that makes a write conditional on
// the version of the object, or on its absence if version is zero.
func preconditionHeader(version uint64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {formatVersion(version)}}
}

// objectPath returns the escaped path of an object. A slash in a key separates
// segments of the path.
func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

// Decode implements Dialect. The result of a write is in the status and the ETag of
// the response, so a truncated body doesn't matter.
func (nativeDialect) Decode(c Call, response HTTPResponse) (Result, error) {
	version, versionErr := parseVersion(response.Header.Get("ETag"))
	switch {
	case response.Status == http.StatusOK && (response.BodyErr == nil || c.Op.writes()):
		return decodeSuccess(c, response, version, versionErr)
	case response.Status == http.StatusNotFound && c.Op == OpPut:
		return Result{}, &ConflictError{} // the object to replace does not exist
	case response.Status == http.StatusNotFound:
		return Result{}, ErrNotFound
	case response.Status == http.StatusTooManyRequests:
		return Result{}, &RateLimitedError{RetryAfter: retryAfter(response.Header)}
	case response.BodyErr != nil:
		return Result{}, NewCallError(c, response.MayHaveRun(), response.BodyErr)
	case response.Status == http.StatusPreconditionFailed:
		return Result{}, &ConflictError{Version: version, Value: response.Body}
	}
	return Result{}, NewCallError(c, response.MayHaveRun(), errors.Errorf("status %d: %s", response.Status, truncatedBody(response.Body)))
}

// decodeSuccess decodes the response to a call that succeeded. version is the
// version in its ETag, unless versionErr is set.
func decodeSuccess(c Call, response HTTPResponse, version uint64, versionErr error) (Result, error) {
	switch c.Op {
	case OpGet:
		if versionErr != nil {
			return Result{}, NewCallError(c, false, versionErr)
		}
		return Result{Objects: []Object{{Key: c.Key, Version: version, Value: response.Body}}}, nil
	case OpPut:
		if versionErr != nil {
			return Result{}, NewCallError(c, true, versionErr)
		}
		return Result{Version: version}, nil
	case OpDelete:
		return Result{}, nil
	}
	var list objectList
	if err := json.Unmarshal(response.Body, &list); err != nil {
		return Result{}, NewCallError(c, false, errors.Wrap(err, "decode objects"))
	}
	return Result{Objects: list.Objects, Revision: list.Revision}, nil
}

// objectList is the body of the response to a list or a watch.
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

// retryAfter returns the delay in a Retry-After header, or defaultRetryAfter.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// truncatedBody returns the start of a body for an error message.
func truncatedBody(body []byte) string {
	const maxBytes = 200
	if len(body) > maxBytes {
		body = body[:maxBytes]
	}
	return strings.TrimSpace(string(body))
}

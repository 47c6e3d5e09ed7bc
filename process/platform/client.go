package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the size of the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Defaults of a Config.
const (
	// DefaultTimeout bounds a call, beyond the wait of a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultRate is a client's budget in calls per second.
	DefaultRate = 20
	// DefaultBurst is the number of calls that a rested client may make at once.
	DefaultBurst = 40
)

// Object is one object of the platform.
type Object struct {
	// Key names the object, such as "ownership/kodumala/entry-filing".
	Key string `json:"key"`
	// Version grows with each write of any object and is never used twice.
	Version uint64 `json:"version"`
	// Value is what the object holds, up to MaxValueBytes.
	Value []byte `json:"value,omitempty"`
	// Deleted tells, in the answer to a watch, that the object is gone.
	Deleted bool `json:"deleted,omitempty"`
}

// Config is what a Client needs to know.
type Config struct {
	// BaseURL is the platform's address, such as "http://127.0.0.1:7100".
	BaseURL string
	// Timeout bounds a call, beyond the wait of a watch. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// Rate is the budget in calls per second. Zero means DefaultRate.
	Rate float64
	// Burst is the number of calls at once. Zero means DefaultBurst.
	Burst int
	// Registry receives the counters platform.calls.* and platform.errors.*.
	// Nil means that nobody reads them.
	Registry metrics.Registry
}

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	limiter *rate.Limiter
	counts  counts
}

// New returns a client. It makes no call.
func New(config Config) *Client {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Rate <= 0 {
		config.Rate = DefaultRate
	}
	if config.Burst <= 0 {
		config.Burst = DefaultBurst
	}
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	return &Client{
		base:    config.BaseURL,
		timeout: config.Timeout,
		http:    &http.Client{Transport: newTransport()},
		limiter: rate.NewLimiter(rate.Limit(config.Rate), config.Burst),
		counts:  newCounts(config.Registry),
	}
}

// Close closes the connections that are idle.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads one object. The error is ErrNotFound, or an ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	result, err := c.call(ctx, call{kind: kindGet, method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, c.wrap(err, "get object %s", key)
	}
	if result.versionErr != nil {
		err := &callError{kind: ErrUnavailable, cause: result.versionErr}
		return Object{}, c.wrap(err, "get object %s", key)
	}
	return Object{Key: key, Version: result.version, Value: result.body}, nil
}

// List reads all objects whose keys start with prefix, and the revision of
// the store that the list shows. The error is an ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	query := url.Values{"prefix": {prefix}}
	result, err := c.call(ctx, call{kind: kindList, method: http.MethodGet, path: "/v1/objects", query: query})
	if err != nil {
		return nil, 0, c.wrap(err, "list objects %s", prefix)
	}
	objects, revision, err := decodeObjects(result.body)
	return objects, revision, c.wrap(err, "list objects %s", prefix)
}

// Put writes an object if its version is ifVersion, where zero means that
// there must be no object yet. It returns the new version. The error is a
// *ConflictError, an ErrUnavailable or an ErrUnknownAnswer.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		err := &callError{kind: ErrUnavailable, cause: errors.Errorf("value of %d bytes is too large", len(value))}
		return 0, c.wrap(err, "put object %s", key)
	}
	request := call{
		kind:      kindPut,
		method:    http.MethodPut,
		path:      objectPath(key),
		body:      value,
		ifVersion: &ifVersion,
		writes:    true,
	}
	result, err := c.call(ctx, request)
	if err != nil {
		return 0, c.wrap(err, "put object %s", key)
	}
	if result.versionErr != nil {
		err := &callError{kind: ErrUnknownAnswer, cause: result.versionErr}
		return 0, c.wrap(err, "put object %s", key)
	}
	return result.version, nil
}

// Delete removes an object if its version is ifVersion. The error is
// ErrNotFound, a *ConflictError, an ErrUnavailable or an ErrUnknownAnswer.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	request := call{
		kind:      kindDelete,
		method:    http.MethodDelete,
		path:      objectPath(key),
		ifVersion: &ifVersion,
		writes:    true,
	}
	_, err := c.call(ctx, request)
	return c.wrap(err, "delete object %s", key)
}

// Watch waits up to wait for objects with the prefix that changed after the
// revision after. It returns their present state and the revision to go on
// from; no objects mean that nothing changed. The error is an ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request := call{kind: kindWatch, method: http.MethodGet, path: "/v1/watch", query: query, wait: wait}
	result, err := c.call(ctx, request)
	if err != nil {
		return nil, 0, c.wrap(err, "watch objects %s", prefix)
	}
	objects, revision, err := decodeObjects(result.body)
	return objects, revision, c.wrap(err, "watch objects %s", prefix)
}

// wrap adds the step and the peer to an error. It returns nil for nil.
func (c *Client) wrap(err error, step string, key string) error {
	return errors.Wrapf(err, step+" at platform %s", key, c.base)
}

// objectList is the answer to a list or a watch.
type objectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

func decodeObjects(body []byte) ([]Object, uint64, error) {
	var list objectList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, 0, &callError{kind: ErrUnavailable, cause: errors.Wrap(err, "decode objects")}
	}
	return list.Objects, list.Revision, nil
}

package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Defaults of a Config.
const (
	// DefaultTimeout bounds a call. The wait of a watch is added to it.
	DefaultTimeout = 2 * time.Second
	// DefaultRate is the rate limit of a client in calls per second.
	DefaultRate = 20
	// DefaultBurst is the number of calls that a client may make at once after it
	// has been idle.
	DefaultBurst = 40
)

// Object is an object stored on the platform.
type Object struct {
	// Key names the object, such as "ownership/kodumala/entry-filing".
	Key string `json:"key"`
	// Version increases with each write of any object, so no two writes get the
	// same one. It holds the era and the revision of the store, as NewVersion does.
	Version uint64 `json:"version"`
	// Value is the content of the object, at most MaxValueBytes long.
	Value []byte `json:"value,omitempty"`
	// Deleted is true in the result of a watch if the object was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// Config configures a Client.
type Config struct {
	// BaseURL is the platform's address, such as "http://127.0.0.1:7100".
	BaseURL string
	// Timeout bounds a call, including the wait for the rate limiter. The wait of
	// a watch is added to it. Zero means DefaultTimeout.
	Timeout time.Duration
	// ResponseTimeout bounds the wait for the head of a response. The wait of a watch is
	// added to it. Zero means Timeout.
	ResponseTimeout time.Duration
	// Rate is the rate limit in calls per second. Zero means DefaultRate.
	Rate float64
	// Burst is the number of calls that may be made at once. Zero means
	// DefaultBurst.
	Burst int
	// Dialect translates calls to HTTP. Nil means the dialect of the product's own
	// object API.
	Dialect Dialect
	// Registry receives the counters platform.calls.* and platform.errors.*. Nil
	// means that the counters are not exported.
	Registry metrics.Registry
	// OnEra, if set, is called after the era of the store has risen. The first era
	// that the store states rises from zero. It must not block.
	OnEra func(before, after Era)
	// OnEraError, if set, is called with the error of a response whose era can't be
	// read, is unconfirmed, or is lower than an earlier one. It must not block.
	OnEraError func(error)
}

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	// responseTimeout is Config.ResponseTimeout.
	responseTimeout time.Duration
	dialect         Dialect
	http            *http.Client
	limiter         *rate.Limiter
	counters        *counters
	eras            *eraTracker
	config          Config
}

// New returns a client. It makes no call.
func New(config Config) *Client {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.ResponseTimeout <= 0 {
		config.ResponseTimeout = config.Timeout
	}
	if config.Rate <= 0 {
		config.Rate = DefaultRate
	}
	if config.Burst <= 0 {
		config.Burst = DefaultBurst
	}
	if config.Dialect == nil {
		config.Dialect = nativeDialect{}
	}
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	return &Client{
		base:    config.BaseURL,
		timeout: config.Timeout,

		responseTimeout: config.ResponseTimeout,
		dialect:         config.Dialect,
		http:            &http.Client{Transport: newTransport()},
		limiter:         rate.NewLimiter(rate.Limit(config.Rate), config.Burst),
		counters:        newCounters(config.Registry),
		eras:            &eraTracker{},
		config:          config,
	}
}

// WithTimeouts returns a client with another Config.Timeout and Config.ResponseTimeout,
// which shares everything else with this one.
func (c *Client) WithTimeouts(timeout, response time.Duration) *Client {
	other := *c
	other.timeout, other.responseTimeout = timeout, response
	return &other
}

// Era returns the highest era of the store that a response has stated, or zero if none
// has.
func (c *Client) Era() Era { return c.eras.known() }

// Close closes idle connections. Calls in flight are not interrupted.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads one object. The error wraps ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	result, err := c.call(ctx, Call{Op: OpGet, Key: key})
	if err != nil {
		return Object{}, c.wrap(err, "get object %s", key)
	}
	return result.Objects[0], nil
}

// List reads all objects whose keys start with prefix. It returns them and the
// revision of the store from which a watch can continue. The error wraps
// ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.list(ctx, Call{Op: OpList, Prefix: prefix})
}

// ListStale is like List, but allows the platform to return a state that is
// seconds old, if it offers such reads at a lower cost.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.list(ctx, Call{Op: OpList, Prefix: prefix, AllowStale: true})
}

// list reads all pages of a list. It returns the revision of the first page, so
// that a watch from there misses no change.
func (c *Client) list(ctx context.Context, request Call) ([]Object, uint64, error) {
	var objects []Object
	var revision uint64
	for {
		result, err := c.call(ctx, request)
		if err != nil {
			return nil, 0, c.wrap(err, "list objects %s", request.Prefix)
		}
		if request.PageToken == "" {
			revision = result.Revision
		}
		if VersionEra(result.Revision) != VersionEra(revision) {
			return nil, 0, c.wrap(NewCallError(request, false, errEraRose), "list objects %s", request.Prefix)
		}
		objects = append(objects, result.Objects...)
		if result.NextPageToken == "" {
			return objects, revision, nil
		}
		request.PageToken = result.NextPageToken
	}
}

// Put writes an object if its current version is ifVersion. Zero means that the
// object must not exist. It returns the new version. A version of an earlier era
// conflicts with any. If the era rises during the call, the outcome is unknown. The
// error wraps a *ConflictError, ErrUnavailable or ErrUnknownOutcome.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	request := Call{Op: OpPut, Key: key, Value: value, IfVersion: ifVersion}
	if len(value) > MaxValueBytes {
		err := NewCallError(request, false, errors.Errorf("value of %d bytes exceeds the maximum of %d", len(value), MaxValueBytes))
		return 0, c.wrap(err, "put object %s", key)
	}
	result, err := c.call(ctx, request)
	return result.Version, c.wrap(err, "put object %s", key)
}

// Delete deletes an object if its current version is ifVersion. The error wraps
// ErrNotFound, a *ConflictError, ErrUnavailable or ErrUnknownOutcome.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := c.call(ctx, Call{Op: OpDelete, Key: key, IfVersion: ifVersion})
	return c.wrap(err, "delete object %s", key)
}

// Watch waits up to maxWait for changes of objects with the prefix after the
// revision afterRevision. It returns the current state of the changed objects,
// including deleted ones, and the revision from which to continue. It returns no
// objects if nothing has changed. The error wraps ErrUnavailable, or ErrCompacted
// if the platform no longer stores the changes since afterRevision, or if that is a
// revision of an earlier era.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64, maxWait time.Duration) ([]Object, uint64, error) {
	result, err := c.call(ctx, Call{Op: OpWatch, Prefix: prefix, AfterRevision: afterRevision, MaxWait: maxWait})
	return result.Objects, result.Revision, c.wrap(err, "watch objects %s", prefix)
}

// wrap adds the failed step and the platform's address to an error. step is a
// format string with one verb, for subject. It returns nil for a nil error.
func (c *Client) wrap(err error, step string, subject string) error {
	return errors.Wrapf(err, step+" at platform %s", subject, c.base)
}

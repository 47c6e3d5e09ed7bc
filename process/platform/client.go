package platform

import (
	"context"
	"net/http"
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
	// Dialect puts calls into HTTP. Nil means the product's own.
	Dialect Dialect
	// Registry receives the counters platform.calls.* and platform.errors.*.
	// Nil means that nobody reads them.
	Registry metrics.Registry
}

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	dialect Dialect
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
	if config.Dialect == nil {
		config.Dialect = native{}
	}
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	return &Client{
		base:    config.BaseURL,
		timeout: config.Timeout,
		dialect: config.Dialect,
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
	reply, err := c.call(ctx, Call{Op: OpGet, Key: key})
	if err != nil {
		return Object{}, c.wrap(err, "get object %s", key)
	}
	return reply.Objects[0], nil
}

// List reads all objects whose keys start with prefix, and the revision of
// the store that the list shows. The error is an ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.list(ctx, Call{Op: OpList, Prefix: prefix})
}

// ListStale is List from a copy that may be seconds old, where the platform
// offers one at a lower price.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.list(ctx, Call{Op: OpList, Prefix: prefix, AllowStale: true})
}

// list reads all pages of a list. The revision is that of the first page, so
// that a watch from there misses nothing.
func (c *Client) list(ctx context.Context, request Call) ([]Object, uint64, error) {
	var objects []Object
	var revision uint64
	for {
		reply, err := c.call(ctx, request)
		if err != nil {
			return nil, 0, c.wrap(err, "list objects %s", request.Prefix)
		}
		objects = append(objects, reply.Objects...)
		if request.PageToken == "" {
			revision = reply.Revision
		}
		if reply.NextPageToken == "" {
			return objects, revision, nil
		}
		request.PageToken = reply.NextPageToken
	}
}

// Put writes an object if its version is ifVersion, where zero means that
// there must be no object yet. It returns the new version. The error is a
// *ConflictError, an ErrUnavailable or an ErrUnknownAnswer.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	request := Call{Op: OpPut, Key: key, Value: value, IfVersion: ifVersion}
	if len(value) > MaxValueBytes {
		err := NewCallError(request, false, errors.Errorf("value of %d bytes is too large", len(value)))
		return 0, c.wrap(err, "put object %s", key)
	}
	reply, err := c.call(ctx, request)
	return reply.Version, c.wrap(err, "put object %s", key)
}

// Delete removes an object if its version is ifVersion. The error is
// ErrNotFound, a *ConflictError, an ErrUnavailable or an ErrUnknownAnswer.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := c.call(ctx, Call{Op: OpDelete, Key: key, IfVersion: ifVersion})
	return c.wrap(err, "delete object %s", key)
}

// Watch waits up to wait for objects with the prefix that changed after the
// revision after. It returns their present state and the revision to go on
// from; no objects mean that nothing changed. The error is an ErrUnavailable,
// or ErrCompacted if the platform no longer has the changes since then.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	reply, err := c.call(ctx, Call{Op: OpWatch, Prefix: prefix, AfterRevision: after, MaxWait: wait})
	return reply.Objects, reply.Revision, c.wrap(err, "watch objects %s", prefix)
}

// wrap adds the step and the peer to an error. It returns nil for nil.
func (c *Client) wrap(err error, step string, key string) error {
	return errors.Wrapf(err, step+" at platform %s", key, c.base)
}

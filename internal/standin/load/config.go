package load

import (
	"cmp"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Default values of Config fields.
const (
	DefaultTimeout       = 2 * time.Second
	DefaultMaxAttempts   = 6
	DefaultRetryAfterCap = time.Second
	DefaultDuplicates    = 0.02
)

// Config configures a load. Zero values of optional fields stand for the
// defaults.
type Config struct {
	// Ingresses lists the addresses, "IP:port", on which nodes accept callers.
	// At least one is required.
	Ingresses []string
	// Mix describes the operations.
	Mix Mix
	// Rate is the mean number of operations started per second. Required.
	Rate float64
	// Duration is the time during which operations are started. Required.
	Duration time.Duration
	// Seed determines the schedule and the operations, except for their
	// idempotency keys.
	Seed uint64
	// Timeout limits one attempt. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts limits the attempts of one copy of an operation. Zero means
	// DefaultMaxAttempts.
	MaxAttempts int
	// RetryAfterCap limits how long a Retry-After header can delay a retry. Zero means
	// DefaultRetryAfterCap.
	RetryAfterCap time.Duration
	// Duplicates is the share of filings that are sent twice at the same time,
	// from 0 to 1. Zero means DefaultDuplicates, a negative value means none.
	Duplicates float64
	// Journals lists the addresses, "IP:port", of the targets whose journals are
	// read after the load.
	Journals []string
	// Collector holds the runs that targets posted. If it is set, Journals is
	// ignored.
	Collector *Collector
	// Progress receives one line per second. Nil discards them.
	Progress io.Writer
}

func (c *Config) complete() error {
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.RetryAfterCap = cmp.Or(c.RetryAfterCap, DefaultRetryAfterCap)
	c.Duplicates = cmp.Or(c.Duplicates, DefaultDuplicates)
	if c.Progress == nil {
		c.Progress = io.Discard
	}
	if len(c.Ingresses) == 0 || c.Rate <= 0 || c.Duration <= 0 {
		return errors.New("load: ingress addresses, rate and duration are required")
	}
	return errors.Wrap(c.Mix.check(), "load: mix")
}

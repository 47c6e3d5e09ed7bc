package load

import (
	"cmp"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Config.
const (
	DefaultTimeout       = 2 * time.Second
	DefaultMaxAttempts   = 6
	DefaultRetryAfterCap = time.Second
	DefaultDuplicates    = 0.02
)

// Config describes a load.
type Config struct {
	// Ingresses are the nodes' caller addresses, "IP:port".
	Ingresses []string
	// Mix is the operations.
	Mix Mix
	// Rate is the operations per second.
	Rate float64
	// Duration is how long operations start.
	Duration time.Duration
	// Seed fixes the schedule and the operations.
	Seed uint64
	// Timeout bounds one send. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts bounds the sends of one copy of an operation. Zero means
	// DefaultMaxSends.
	MaxAttempts int
	// RetryAfterCap bounds the wait that a Retry-After causes. Zero means
	// DefaultRetryAfterCap.
	RetryAfterCap time.Duration
	// Duplicates is the share of filings that are sent twice at once. Zero
	// means DefaultDuplicates, less than zero none.
	Duplicates float64
	// Journals are the targets' addresses, "IP:port", whose journals are read
	// when the load has ended.
	Journals []string
	// Collector is the runs that targets posted here. When it is set, Journals
	// are not read.
	Collector *Collector
	// Progress receives a line each second. Nil means none.
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

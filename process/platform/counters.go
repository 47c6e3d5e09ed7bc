package platform

import (
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

var opNames = [opCount]string{"get", "list", "put", "delete", "watch"}

// counters holds the counters of a client's calls and errors.
type counters struct {
	calls     [opCount]metrics.Counter
	bytesRead metrics.Counter
	// repeatedReads counts the reads that got no response over a kept connection.
	repeatedReads metrics.Counter
	notFound      metrics.Counter
	conflict      metrics.Counter
	rateLimited   metrics.Counter
	unknown       metrics.Counter
	unavailable   metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, registry)
	}
	c := &counters{
		bytesRead:     counter("bytes-read"),
		repeatedReads: counter("repeated-reads"),
		notFound:      counter("errors.not-found"),
		conflict:      counter("errors.conflict"),
		rateLimited:   counter("errors.rate-limited"),
		unknown:       counter("errors.unknown"),
		unavailable:   counter("errors.unavailable"),
	}
	for i, name := range opNames {
		c.calls[i] = counter("calls." + name)
	}
	return c
}

func (c *counters) countCall(o Op) {
	c.calls[o].Inc(1)
}

func (c *counters) countError(err error) {
	var conflict *ConflictError
	var limited *RateLimitedError
	switch {
	case errors.As(err, &conflict):
		c.conflict.Inc(1)
	case errors.As(err, &limited):
		c.rateLimited.Inc(1)
	case errors.Is(err, ErrNotFound):
		c.notFound.Inc(1)
	case errors.Is(err, ErrUnknownOutcome):
		c.unknown.Inc(1)
	default:
		c.unavailable.Inc(1)
	}
}

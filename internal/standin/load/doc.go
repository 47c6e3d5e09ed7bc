// Package load is an open-loop load generator that stands in for the callers.
// It checks every response.
//
// # Schedule
//
// Operations start at the times of a Poisson process. The rate and the seed
// determine these times, and whether earlier operations have ended does not
// matter. Latency is measured from the planned start of an operation, so that a
// stalled system cannot hide latency by delaying the load generator
// (coordinated omission).
//
// # One operation
//
// An operation is a lookup, or a filing with an idempotency key. The ingress
// addresses are used in rotation. An attempt that ends as not-run or unknown,
// with a broken connection or with a timeout is retried under the same key, up
// to a maximum number of attempts. Retry-After is honoured up to a maximum. A
// share of the filings is deliberately sent twice at the same time through
// different addresses.
//
// # What is counted
//
// The result of an operation is answered if the complete, correct response was
// received, not_run if every attempt was refused as not run, and unknown
// otherwise. A successful response counts as truncated if it is a proper prefix
// of the correct one, and as misrouted if it differs in any other way.
//
// After the load has ended, the number of runs of each key is read from the
// journals of the targets, or from the collector that the targets posted to.
// A key that ran more than once is a duplicate execution. A key that ran
// although every attempt was answered not-run is a false not-run.
package load

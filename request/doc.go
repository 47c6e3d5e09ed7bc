// Package request provides the building blocks for handling a single request:
// its deadline, its outcome, its fingerprint, the HTTP headers that carry these
// between hops, and the limits and budgets for requests, retries, hedges and
// load measurements.
//
// Nothing in this package performs I/O. The current time is always an argument.
package request

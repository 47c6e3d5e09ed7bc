// Package load is a stand-in for the callers: an open-loop load generator that
// checks every answer.
//
// # Schedule
//
// Operations start at the times of a Poisson process that rate and seed fix,
// whether earlier ones have ended or not. Latency counts from the planned
// start, so a stalled system is not spared by a waiting generator.
//
// # One operation
//
// An operation is a lookup, or a filing with an idempotency key. It is sent
// through the ingress addresses in rotation, and sent again, under the same
// key, after not-run, unknown, a broken connection or a timeout, a bounded
// number of times and honouring Retry-After up to a bound. A share of the
// filings is deliberately sent twice at once through different addresses.
//
// # What is counted
//
// An operation is answered when the whole and right answer came; not_run when
// every send was refused as not run; else unknown. A clean answer that is a
// prefix of the right one counts as truncated, any other wrong answer as
// misrouted. After the load has ended, the journals of the targets, or the
// collector that they reported to, tell how often each key ran: doubled counts
// the keys that ran more than once, lied those that ran although every send was
// told not-run.
package load

// Package ownership makes a non-idempotent operation run at most once.
//
// The key space of each service is cut into partitions. One platform object
// per service names the owner of each partition with a tenure number, and the
// witnesses. The owner alone runs operations of its partition, records a claim
// for each key first, and keeps outcome and answer for the resend window.
package ownership

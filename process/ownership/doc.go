// Package ownership ensures that a non-idempotent operation runs at most once.
//
// # Model
//
// The idempotency keys of each service are divided into partitions. The
// platform stores one object per service,
// "ownership/<organisation>/<service>". It names the service's witnesses and,
// for each partition, the owner and a tenure number, which grows with each
// change of the owner. The object is changed by conditional writes only.
//
// Only the owner of a partition accepts operations for its keys. It first
// records a claim for the key, then has the operation run once, and keeps its
// outcome and answer for the resend window. A later request with the same key
// is answered with the kept answer, with "done" if the answer is no longer kept,
// or with "unknown" if the outcome is not known; while the operation is still
// running, the request waits for it.
//
// An owner needs a lease: a majority of the witnesses must have acknowledged a
// heartbeat that it sent less than a lease term ago. Heartbeats are sent from
// node to node, so a lease needs no calls of the platform and stays valid while
// the platform is unavailable.
//
// When membership has reported the owner dead for a term, or requests to it keep
// failing, another node of the service writes a higher tenure. The new tenure
// may begin when the witnesses have not acknowledged the former one for a term.
// The new owner doesn't know which keys its predecessor ran. It therefore runs
// only keys that were created later than the end of the former leases plus
// twice the clock skew. It answers older dated keys, and for one resend window
// all undated keys, with "unknown".
//
// A node that leaves, or that owns more partitions than others, first transfers
// its claims and its fence to the successor. After such a handover no key is
// refused or answered with "unknown" because of the change.
//
// # What operators see
//
// The dump (State) shows for each service the object's version, the witnesses,
// and the owner and tenure of each partition. At the owner it also shows the
// remaining time of the lease, the fence, and the size of the claim table. The
// Reason constants list why requests are refused. A service that has
// permanently lost a majority of its witnesses accepts no operations until an
// operator intervenes. An ownership object must not be deleted while its
// service is in use: tenures would start again at 1, without a fence.
//
// # Packages
//
// Core makes the decisions and does no I/O; Runner does the I/O for it. The
// packages below this one hold the assignment (the object's content), the
// witness, the lease, the fence on key times, the claim table, the messages,
// and the durations. The tests simulate many nodes in virtual time;
// VT_HISTORIES sets the number of simulated histories.
// docs/notes/at-most-once.md explains the design.
package ownership

// Package ownership makes a non-idempotent operation run at most once.
//
// # Model
//
// The key space of each service is cut into partitions. One object of the
// platform per service, "ownership/<organisation>/<service>", names the owner
// of each partition with a tenure number, and the service's witnesses. Only
// conditional writes change it.
//
// The owner alone takes on operations of its partition. It records a claim for
// the key first, has the operation run once, and keeps outcome and answer for
// the resend window. A request with the same key gets the same answer, or
// "done", or waits for the run that goes on, or is told that the end is unknown.
//
// The owner needs a lease: most witnesses must have acknowledged a beat that it
// sent less than a term ago. Beats go from node to node, so a lease costs the
// platform nothing and lasts through its outages.
//
// When membership holds the owner for dead for a term, or its requests keep
// failing, another node of the service writes a higher tenure. It may begin
// when the witnesses have not acknowledged the former tenure for a term. It
// doesn't know what its predecessor ran, so it runs only keys whose time lies
// after its begin plus twice the skew; older ones, and undated ones for a
// resend window, are answered with "unknown".
//
// A node that leaves, or has more partitions than others, hands claims and
// fence to its successor first. Then nothing is refused and nothing is unknown.
//
// # What an operator sees
//
// The dump (State) shows for each service the object's version, the witnesses,
// and for each partition its owner and tenure; at the owner also the time left
// of the lease, the fence, and the size of the claim table. Reasons of refusals
// are the Reason constants. A service whose witnesses are lost for good in
// their majority takes on no operations until an operator intervenes. An
// ownership object must not be deleted while its service is in use: tenures
// would begin anew, without a fence.
//
// # Parts
//
// Core decides, without I/O; Runner does the I/O for it. The packages below
// hold the assignment (the object's content), the witness, the lease, the fence
// on key times, the claim table, the messages, and the durations. The tests
// hold a model of many nodes in virtual time; VT_HISTORIES sets how many
// histories it plays. docs/notes/at-most-once.md has the reasoning.
package ownership

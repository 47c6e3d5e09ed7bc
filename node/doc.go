// Package node is the face of the library: it wires the parts of verbenatrestle
// into one running node.
//
// A node is the one small process beside each target. It has five listeners:
//
//   - callers: HTTP from callers and from the local service. The node is the
//     ingress of these requests.
//   - hop: HTTP between nodes, as guard of the target beside it or as owner of
//     a partition of idempotency keys.
//   - peer: WebSocket links on which nodes tell each other of membership,
//     configuration, leases and claims.
//   - admin: the administration API, metrics and the state dump.
//   - announce: HTTP from the target beside the node.
//
// A request goes from the caller to the ingress, for a non-idempotent route
// from there to the owner of its key, then to the guard and to the target. A
// hop to the same node is a call in the process.
//
// Three kinds of decision stand apart. Routing (package balance) is opinion:
// any node picks a target from stale knowledge. Admission (package admission)
// is authority: only the guard lets a request into its target, and its refusal
// proves that the request was not run. Ownership and configuration are
// agreement: they change only by conditional writes to the platform.
package node

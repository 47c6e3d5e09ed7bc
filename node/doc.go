// Package node assembles the packages of verbenatrestle into a running node. It
// is the entry point for programs that use verbenatrestle as a library.
//
// A node is a small process that runs beside each target. It has five listeners:
//
//   - callers: HTTP from callers and from the local service. The node is the
//     ingress of these requests.
//   - hop: HTTP between nodes. The node forwards these requests to its local
//     target, or runs them as the owner of a partition of idempotency keys.
//   - peer: WebSocket links on which nodes exchange membership, configuration,
//     leases and claims.
//   - admin: the administration API, metrics and the state dump.
//   - announce: HTTP from the target beside the node.
//
// A request passes from the caller to the ingress, for a non-idempotent route
// from there to the owner of its key, and then through the node beside the
// chosen target to that target. A hop to the same node is a function call.
//
// Three kinds of decisions are kept apart. Routing (package balance) is an
// estimate: any node picks a target by load data that may be stale. Admission
// (package admission) is authoritative: only the node beside a target admits
// requests to it, and its refusal proves that the request was not run. Ownership
// and configuration need agreement: they change only by conditional writes to the
// platform.
package node

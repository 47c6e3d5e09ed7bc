// Package gateway implements a node for a platform that already provides a
// metadata store and whose targets report their own status. The node finds its
// routes and its peers in the store, so it needs none of the partition owners,
// claims and announcements that package node has.
//
// The path of a request:
//
//	caller -> ingress -> local target of the chosen node -> target
//
// The ingress (ingress.go, dispatch.go) routes the request, chooses a target
// and retries where that is safe. Each target has a node beside it, and every
// request to the target passes through the localTarget of that node
// (local_target.go), where package gate decides whether it is admitted. A node
// calls its own local target in the process and reaches every other target by
// an HTTP request to the node beside it, called a hop (hop.go).
//
// Nodes send each other their status in UDP datagrams (peers.go). The
// configuration and the data centres out of service come from the platform's
// store (store.go). A few nodes watch it, and the others learn of changes from
// their peers.
//
// The decisions are made by packages that do no I/O: request/placement,
// process/gate, process/fleet and version.
package gateway

// Package gateway wires a node that runs on a prepared platform: the node finds
// its routes, its peers and its target's reports there, and needs no owners,
// claims or announcements of the product's own.
//
// A request's way:
//
//	caller -> ingress -> guard of the chosen target -> target
//
// The ingress (ingress.go, dispatch.go) routes, chooses a target and tries
// again where that is safe. The guard (guard.go) is the only way into the target
// beside it; it decides by package gate. A request to the node's own target is
// a call in the process, any other one an HTTP hop (hop.go).
//
// Nodes tell each other of themselves in datagrams (peers.go). Configuration
// and data centres that are out come from the platform's store (store.go) or,
// when that is out of reach, from peers.
//
// What decides is in packages that do no I/O: request/placement, process/gate,
// process/fleet, version.
package gateway

// Package fleet holds the last known state of the other nodes and of the targets
// beside them.
//
// Each node sends its own state to every other node in datagrams: at a fixed
// interval, and at once after some changes, such as when the slowdown of its
// target changes a lot or when it starts or stops accepting requests. Most peers
// get a short heartbeat in place of the full status while only the load changes.
// In a large fleet the others get no heartbeats, but statuses at a longer
// interval. A newer datagram of an incarnation replaces the older state.
//
// A peer is unreachable while none of its datagrams arrive here, while it reports
// that none of this node's datagrams arrive there, and for a short time after a
// hop to it failed. A response to a hop counts like a datagram in both directions.
//
// Statuses also carry the number of the active configuration and the data
// centres that are out of service. A node that does not watch the platform's store
// learns of changes from its peers.
//
// The package does no I/O and reads no clock.
package fleet

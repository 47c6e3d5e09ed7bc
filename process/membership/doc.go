// Package membership maintains, on each node, a table of the other nodes and
// their targets. It is a gossip protocol in which members are suspected and
// refute suspicions as in SWIM. In steady state neither the number of messages
// that a node sends nor their size grows with the fleet.
//
// # Members
//
// Each node has one entry with its addresses, its target and its active
// configuration version. Three counters order what is received about a node:
//
//   - Incarnation is the start time of its process. A higher incarnation
//     replaces the whole entry.
//   - Sequence counts the node's own changes. A higher sequence replaces the
//     content of the entry.
//   - Refutations counts how often the node has refuted a suspicion. A higher
//     count replaces the status; at an equal count a suspicion wins.
//
// The status left is final for an incarnation.
//
// # The ring
//
// Members are placed on a ring by a hash of their names. A node's neighbours
// are the present members at ring distances 1, 2, 4, 8, ... Each period (1 s by
// default) a node sends heartbeats to a fixed number of its neighbours, always
// to the nearest one and to the others in turn, and each heartbeat is answered.
// The size of a heartbeat is bounded. It contains the sender's own counters, a
// digest of its table, updates that are each sent a bounded number of times,
// and a part of the map of members on which the newest configuration version is
// active.
//
// Urgent updates (a target that drains, leaves or changes state; a rumour) are
// forwarded to all neighbours at once. Each node forwards an update once in
// this way, within a token bucket; updates that exceed the bucket travel with
// the heartbeats.
//
// # Failure detection
//
// A node suspects a neighbour that leaves heartbeats unanswered for
// SuspectAfter, or whose link breaks, and spreads the suspicion. A suspected
// node that receives the suspicion refutes it. Otherwise each node declares the
// suspect dead DeadAfter after it received the suspicion, by its own clock; no
// node adopts the status dead from another one. A node that was paused itself
// first restarts its timers for the other members. Suspects still count as
// present, because nodes that send requests to them detect a failure sooner
// themselves.
//
// # Convergence
//
// When the digests of two neighbours differ for SyncAfter, the nodes compare
// digests by bucket and then the entries of the buckets that differ, in
// messages of bounded size and at a bounded rate.
//
// During a network partition each side declares the other one dead. All nodes
// together try to reach each dead member about once a period, and a member that
// runs refutes its death. Dead and left members are remembered for ForgetAfter,
// so that outdated updates don't bring them back. A table never holds more than
// MaxMembers other members: when it is full, the member that has been dead or
// left for the longest time is forgotten, and if there is none, new members are
// ignored. After a partition that lasts longer than ForgetAfter the sides find
// each other only through Seed: callers have to read the member objects from
// the platform from time to time, and to delete those of members that are gone.
//
// # Limitations
//
// The configuration version of a member is the newest one that this node has
// received. It is accurate within seconds for members that have the newest
// version of the fleet; for a member that lags behind it may be outdated, and
// only the member itself knows its version.
//
// A node that is unreachable while a rumour spreads may miss it.
//
// Two processes that run under one name raise their incarnations alternately,
// each at most once a period, and their entries replace each other.
package membership

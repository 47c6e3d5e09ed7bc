// Package membership tells each node which other nodes and targets there are,
// without a message or a byte in steady state that grows with the fleet.
//
// # Members
//
// A node has one entry: its addresses, its target, the configuration version in
// force. Incarnation is the start of its process; a higher one replaces the
// entry whole. Sequence counts the node's own changes; a higher one replaces
// the content. Refutations counts how often the node contradicted a suspicion;
// a higher one replaces what is believed of its life, and at equal count a
// suspicion wins. Having left is final for an incarnation.
//
// # The ring
//
// Members lie on a ring in the order of a hash of their names. A node's
// neighbours are the present members at ring distances 1, 2, 4, 8, ... Each
// period (1 s) it sends a heartbeat to a fixed number of them, the nearest
// always and the others in turn, and each is answered. A heartbeat has a
// bounded size: the sender's own counters, a digest of its table, news that is
// passed on a bounded number of times, and part of a map of the members on which
// the newest configuration version is in force.
//
// Urgent news (a target that drains, leaves, or changes state; a rumour) is
// passed on at once to all neighbours, each piece once by each node, within a
// token bucket; what exceeds it travels with the heartbeats.
//
// # Failure
//
// A neighbour that leaves heartbeats unanswered for SuspectAfter, or whose link
// breaks, is suspected, and that is spread. A suspect that hears of it refutes.
// Each node lets a suspect die by its own clock after ConfirmAfter; nobody is
// taken to be dead on another's word. A node that was paused itself forgives
// the others first. Suspects are still present: whoever sends requests finds
// out sooner by itself.
//
// # Convergence
//
// When the digests of two neighbours differ for SyncAfter, they compare digests
// by bucket, then the entries of buckets that differ, in messages of bounded
// size and at a bounded rate. After a cut each side takes the other to be dead;
// all nodes together try each dead member about once a period, and one that
// lives refutes. Dead and left members are remembered for ForgetAfter so that
// stale news doesn't bring them back, and a table never holds more than
// MaxMembers: then the oldest dead are forgotten, and without any, new members
// are not taken. A cut that outlasts ForgetAfter heals only by Seed: read the
// member objects from the platform now and then, and delete those of members
// that are gone.
//
// # Limits to know
//
// The configuration version shown for a member is the newest that this node has
// heard of. It is exact within seconds on members that have the newest version
// of the fleet; on one that lags it may be older than the truth: ask the node
// itself. A rumour may miss a node that is away while it spreads.
// Two processes under one name raise their incarnations against each other, at
// most once a period; each then disturbs the other.
package membership

// Package quarantine finds requests that crash the targets that run them.
//
// The node beside a crashed target records the crash with every request that
// was in flight there. From then on each of them is a suspect on every node:
// a guard runs at most one suspect at a time. A suspect that completes is
// cleared. A crash with exactly one suspect among its requests convicts that
// suspect: it is quarantined for a spell, and so is refused everywhere. The
// requests that were in flight beside it, at either crash, are suspects no
// longer, since the crash is explained.
//
// What a node believes follows from the set of crashes and clears alone. Nodes
// exchange both, in any order and any number of times, and come to the same
// verdicts. Times are wall-clock times of the node that recorded them; clocks
// are taken to agree within Settings.Skew.
//
// Memory is bounded. At the limit the oldest crash is dropped, so its crasher
// needs one more crash; the oldest clear is dropped, so a suspect stays one
// until its spell ends.
//
// A known limit: if a suspect that is innocent runs beside a first-time
// crasher, and they crash the target together, the suspect is convicted for
// the spell. The crasher then needs two more crashes.
package quarantine

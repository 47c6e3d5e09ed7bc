// Package quarantine finds requests that crash the targets that run them.
//
// The node beside a crashed target records the crash with every request that
// was in flight there. From then on each of them is a suspect on every node:
// a guard runs at most one suspect at a time. A suspect that completes is
// cleared. A request that alone was in flight at two crashes is quarantined for
// a spell, which means that it is refused everywhere. The requests that were in
// flight beside it, at either crash, are suspects no longer, since the crashes
// are explained. If several requests were in flight at the same crashes, they
// stay suspects, and run one at a time, until one of them is in a crash without
// the others.
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
// A known limit: if two requests cause crashes at the same time, an innocent
// one may be in a crash of each, and is quarantined until a further crash of
// either shows that it was not the cause, or for the spell.
package quarantine
